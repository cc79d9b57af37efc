/** Turns a schema library's findings into messages for operators. */

import type {z} from 'zod';

const longestValue = 80;

/**
 * Describes each fault with its file, key and the value seen.
 *
 * @param fileName - The file's name.
 * @param error - What the schema library found.
 * @param document - The document that was checked.
 * @returns One message for each fault.
 */
export function describeIssues(
	fileName: string,
	error: z.ZodError,
	document: unknown,
): string[] {
	return error.issues.map((issue) => {
		const key = issue.path.join('.') || '(top level)';
		const seen = formatValue(getValueAt(document, issue.path));
		return `${fileName}: ${key}: ${issue.message}; seen: ${seen}`;
	});
}

function getValueAt(document: unknown, path: readonly PropertyKey[]): unknown {
	let value = document;
	for (const key of path) {
		if (typeof value !== 'object' || value === null) {
			return undefined;
		}

		value = (value as Record<PropertyKey, unknown>)[key];
	}

	return value;
}

function formatValue(value: unknown): string {
	if (value === undefined) {
		return 'nothing';
	}

	const text = JSON.stringify(value) ?? typeof value;
	return text.length > longestValue ? `${text.slice(0, longestValue)}…` : text;
}
