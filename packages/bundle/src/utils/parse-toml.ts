/** Parses TOML without throwing on syntax errors. */

import {parse, TomlError} from 'smol-toml';
import {Err, Ok, type Result} from 'ts-results-es';

/**
 * Parses TOML.
 *
 * @param text - The text.
 * @param label - The name of the text in error messages.
 * @returns The document, or the position and reason of the syntax error.
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
