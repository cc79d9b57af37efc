/** Reads JSON without throwing. */

import {Err, Ok, type Result} from 'ts-results-es';

/**
 * Reads JSON.
 *
 * @param text - The text.
 * @param label - Names the text in the message.
 * @returns The document, or that it is not JSON.
 */
export function parseJson(
	text: string,
	label: string,
): Result<unknown, string> {
	try {
		return Ok(JSON.parse(text));
	} catch {
		return Err(`${label}: is not JSON; ${text.length} characters`);
	}
}
