/** Turns a schema library's findings into messages for operators. */

import type {z} from 'zod';

const longestValue = 80;
const secretKeys: ReadonlySet<PropertyKey> = new Set(['token', 'privateKey']);

/**
 * Describes each fault with its file, key and the value seen; secrets are left out.
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
	return error.issues.flatMap((issue) =>
		issue.code === 'unrecognized_keys'
			? issue.keys.map((key) =>
					describe(fileName, document, [...issue.path, key], 'is no known key'),
				)
			: [describe(fileName, document, issue.path, issue.message)],
	);
}

function describe(
	fileName: string,
	document: unknown,
	path: readonly PropertyKey[],
	message: string,
): string {
	const key = path.join('.') || '(top level)';
	const isSecret = path.some((part) => secretKeys.has(part));
	const seen = isSecret
		? 'a value that is not shown'
		: formatValue(getValueAt(document, path));
	return `${fileName}: ${key}: ${message}; seen: ${seen}`;
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

	const text = JSON.stringify(value, hideSecret) ?? typeof value;
	return text.length > longestValue ? `${text.slice(0, longestValue)}…` : text;
}

function hideSecret(key: string, value: unknown): unknown {
	return secretKeys.has(key) ? 'not shown' : value;
}
