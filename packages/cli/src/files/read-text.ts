/** Reads files that users name. */

import fs from 'node:fs';
import {UsageError} from '../output/usage-error.js';

/**
 * Reads a text file.
 *
 * @param file - The path.
 * @returns The text.
 * @throws UsageError if it cannot be read.
 */
export function readTextOrThrow(file: string): string {
	try {
		return fs.readFileSync(file, 'utf8');
	} catch (error) {
		throw new UsageError(`${file}: cannot be read: ${getReason(error)}`);
	}
}

/**
 * Gets why an operation on a file failed.
 *
 * @param error - What was thrown.
 * @returns The reason in words.
 */
export function getReason(error: unknown): string {
	const {code, message} = error as NodeJS.ErrnoException;
	switch (code) {
		case 'ENOENT': {
			return 'there is no such file';
		}

		case 'EACCES': {
			return 'permission denied';
		}

		case 'EISDIR': {
			return 'it is a folder';
		}

		default: {
			return message;
		}
	}
}
