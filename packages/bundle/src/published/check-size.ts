/** Checks a published value against the size limit of the platform. */

import {Buffer} from 'node:buffer';
import {Err, Ok, type Result} from 'ts-results-es';
import {maxValueBytes} from './size-limits.js';

/**
 * Checks the size of a value.
 *
 * @param text - The value.
 * @param label - The name of the value in error messages.
 * @returns The value, or a message with its size if it exceeds the limit.
 */
export function checkSize(text: string, label: string): Result<string, string> {
	const bytes = Buffer.byteLength(text);
	return bytes > maxValueBytes
		? Err(`${label}: has ${bytes} bytes, at most ${maxValueBytes} are allowed`)
		: Ok(text);
}
