/** Reads text files given on the command line. */

import fs from 'node:fs';
import {UsageError} from '../output/usage-error.js';

const fileErrorReasons = [
	{code: 'ENOENT', reason: 'file not found'},
	{code: 'EACCES', reason: 'permission denied'},
	{code: 'EISDIR', reason: 'is a directory'},
];

/**
 * Reads a text file.
 *
 * @param file - The path.
 * @returns The content.
 * @throws UsageError if the file cannot be read.
 */
export function readTextFileOrThrow(file: string): string {
	try {
		return fs.readFileSync(file, 'utf8');
	} catch (error) {
		throw new UsageError(
			`${file}: cannot be read: ${describeFileError(error)}`,
		);
	}
}

/**
 * Describes why a file operation failed.
 *
 * @param error - The error that was thrown.
 * @returns The reason for the user; the original message if the error code has no text here.
 */
export function describeFileError(error: unknown): string {
	const {code, message} = error as NodeJS.ErrnoException;
	return fileErrorReasons.find((item) => item.code === code)?.reason ?? message;
}
