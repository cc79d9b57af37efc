/** Reads files that users name. */

import fs from 'node:fs';
import {UsageError} from '../output/usage-error.js';

const fileErrorReasons = [
	{code: 'ENOENT', reason: 'there is no such file'},
	{code: 'EACCES', reason: 'permission denied'},
	{code: 'EISDIR', reason: 'it is a folder'},
];

/**
 * Reads a text file.
 *
 * @param file - The path.
 * @returns The text.
 * @throws UsageError if it cannot be read.
 */
export function readTextFileOrThrow(file: string): string {
	try {
		return fs.readFileSync(file, 'utf8');
	} catch (error) {
		throw new UsageError(`${file}: cannot be read: ${describeFileError(error)}`);
	}
}

/**
 * Gets why an operation on a file failed.
 *
 * @param error - What was thrown.
 * @returns The reason in words.
 */
export function describeFileError(error: unknown): string {
	const {code, message} = error as NodeJS.ErrnoException;
	return fileErrorReasons.find((item) => item.code === code)?.reason ?? message;
}
