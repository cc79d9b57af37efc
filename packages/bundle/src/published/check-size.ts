/** Checks that a published value is within the platform's bound. */

import {Buffer} from 'node:buffer';
import {Err, Ok, type Result} from 'ts-results-es';
import {maxValueBytes} from './size-limits.js';

/**
 * Checks the size of a value.
 *
 * @param text - The value.
 * @param label - Names the value in the message.
 * @returns The value, or how far it is over the bound.
 */
export function checkSize(text: string, label: string): Result<string, string> {
	const bytes = Buffer.byteLength(text);
	return bytes > maxValueBytes
		? Err(`${label}: has ${bytes} bytes, at most ${maxValueBytes} are allowed`)
		: Ok(text);
}
