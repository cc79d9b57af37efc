/** Reads TOML without throwing. */

import {parse, TomlError} from 'smol-toml';
import {Err, Ok, type Result} from 'ts-results-es';

/**
 * Reads TOML.
 *
 * @param text - The text.
 * @param label - Names the text in the message.
 * @returns The document, or where it is malformed.
 */
export function parseToml(
	text: string,
	label: string,
): Result<unknown, string> {
	try {
		return Ok(parse(text));
	} catch (error) {
		if (error instanceof TomlError) {
			const [reason] = error.message.split('\n');
			return Err(
				`${label}: line ${error.line}, column ${error.column}: ${reason}`,
			);
		}

		throw error;
	}
}
