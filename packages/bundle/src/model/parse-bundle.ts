/** Reads a bundle as operators write it. */

import {Err, Ok, type Result} from 'ts-results-es';
import {describeIssues} from '../utils/describe-issues.js';
import {parseToml} from '../utils/parse-toml.js';
import type {Bundle} from './bundle.js';
import {bundleSchema} from './bundle-schema.js';
import {findContradictions} from './find-contradictions.js';

/**
 * Reads a bundle from TOML.
 *
 * @param text - The TOML text.
 * @param fileName - The file's name, for messages.
 * @returns The bundle, or every fault that was found, one message each.
 */
export function parseBundle(
	text: string,
	fileName: string,
): Result<Bundle, readonly string[]> {
	const document = parseToml(text, fileName);
	if (document.isErr()) {
		return Err([document.error]);
	}

	const checked = bundleSchema.safeParse(document.value);
	if (!checked.success) {
		return Err(describeIssues(fileName, checked.error, document.value));
	}

	const contradictions = findContradictions(checked.data);
	return contradictions.length > 0
		? Err(contradictions.map((message) => `${fileName}: ${message}`))
		: Ok(checked.data);
}
