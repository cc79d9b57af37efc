/** Parses a bundle as written by operators. */

import {Err, Ok, type Result} from 'ts-results-es';
import {describeIssues} from '../utils/describe-issues.js';
import {parseToml} from '../utils/parse-toml.js';
import type {Bundle} from './bundle.js';
import {bundleSchema} from './bundle-schema.js';
import {findConsistencyErrors} from './find-consistency-errors.js';

/**
 * Parses a bundle in TOML.
 *
 * @param text - The TOML text.
 * @param fileName - The name of the file, for error messages.
 * @returns The bundle, or one message per error.
 */
export function parseBundle(
	text: string,
	fileName: string,
): Result<Bundle, readonly string[]> {
	const document = parseToml(text, fileName);
	if (document.isErr()) {
		return Err([document.error]);
	}

	const parsed = bundleSchema.safeParse(document.value);
	if (!parsed.success) {
		return Err(describeIssues(fileName, parsed.error, document.value));
	}

	const errors = findConsistencyErrors(parsed.data);
	return errors.length > 0
		? Err(errors.map((message) => `${fileName}: ${message}`))
		: Ok(parsed.data);
}
