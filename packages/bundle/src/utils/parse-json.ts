/** Parses JSON without throwing. */

import {Err, Ok, type Result} from 'ts-results-es';

/**
 * Parses JSON.
 *
 * @param text - The text.
 * @param label - The name of the text in error messages.
 * @returns The document, or an error message.
 */
export function parseJson(
	text: string,
	label: string,
): Result<unknown, string> {
	try {
		return Ok(JSON.parse(text));
	} catch {
		return Err(`${label}: is not valid JSON; seen: ${text.length} characters`);
	}
}
