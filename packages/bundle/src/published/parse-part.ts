/** Parses the part of a published bundle that contains one service. */

import {Err, Ok, type Result} from 'ts-results-es';
import {serviceSchema} from '../model/bundle-schema.js';
import type {Service} from '../model/bundle.js';
import {getDigest} from '../utils/canonical-json.js';
import {describeIssues} from '../utils/describe-issues.js';
import {parseJson} from '../utils/parse-json.js';
import {checkSize} from './check-size.js';
import type {PartReference} from './published-bundle.js';

/**
 * Parses a part and verifies its digest.
 *
 * @param reference - The reference to the part in the manifest.
 * @param text - The text of the part.
 * @returns The service, or one message per error.
 */
export function parsePart(
	reference: PartReference,
	text: string,
): Result<Service, readonly string[]> {
	const label = `part "${reference.service}"`;
	const sizeCheck = checkSize(text, label);
	if (sizeCheck.isErr()) {
		return Err([sizeCheck.error]);
	}

	const digest = getDigest(text);
	if (digest !== reference.digest) {
		return Err([`${label}: digest is ${digest}, expected ${reference.digest}`]);
	}

	const document = parseJson(text, label);
	return document.isErr()
		? Err([document.error])
		: validateService(reference, document.value, label);
}

function validateService(
	reference: PartReference,
	document: unknown,
	label: string,
): Result<Service, readonly string[]> {
	const parsed = serviceSchema.safeParse(document);
	if (!parsed.success) {
		return Err(describeIssues(label, parsed.error, document));
	}

	return parsed.data.name === reference.service
		? Ok(parsed.data)
		: Err([`${label}: contains the service "${parsed.data.name}"`]);
}
