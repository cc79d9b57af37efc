/** Converts schema validation errors to messages for operators. */

import type {z} from 'zod';

const maxValueLength = 80;
const secretKeys: ReadonlySet<PropertyKey> = new Set(['token', 'privateKey']);

/**
 * Describes each issue with its file, key and invalid value; secrets are redacted.
 *
 * @param fileName - The name of the file.
 * @param error - The validation error.
 * @param document - The validated document.
 * @returns One message per issue.
 */
export function describeIssues(
	fileName: string,
	error: z.ZodError,
	document: unknown,
): string[] {
	return error.issues.flatMap((issue) =>
		issue.code === 'unrecognized_keys'
			? issue.keys.map((key) =>
					formatIssue(
						fileName,
						document,
						[...issue.path, key],
						'is not a known key',
					),
				)
			: [formatIssue(fileName, document, issue.path, issue.message)],
	);
}

function formatIssue(
	fileName: string,
	document: unknown,
	path: readonly PropertyKey[],
	message: string,
): string {
	const key = path.join('.') || '(top level)';
	const isSecret = path.some((part) => secretKeys.has(part));
	const shownValue = isSecret
		? 'a redacted value'
		: formatValue(getValueAt(document, path));
	return `${fileName}: ${key}: ${message}; seen: ${shownValue}`;
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

	const text = JSON.stringify(value, redactSecret) ?? typeof value;
	return text.length > maxValueLength
		? `${text.slice(0, maxValueLength)}…`
		: text;
}

function redactSecret(key: string, value: unknown): unknown {
	return secretKeys.has(key) ? 'redacted' : value;
}
