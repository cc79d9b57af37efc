/** Reads the part that holds one service. */

import {Err, Ok, type Result} from 'ts-results-es';
import {serviceSchema} from '../model/bundle-schema.js';
import type {Service} from '../model/bundle.js';
import {getDigest} from '../utils/canonical.js';
import {describeIssues} from '../utils/describe-issues.js';
import {parseJson} from '../utils/parse-json.js';
import {checkSize} from './check-size.js';
import type {PartReference} from './published-bundle.js';

/**
 * Reads a part and checks it against its digest.
 *
 * @param reference - What the manifest says of the part.
 * @param text - The text of the part.
 * @returns The service, or every fault that was found.
 */
export function parsePart(
	reference: PartReference,
	text: string,
): Result<Service, readonly string[]> {
	const label = `part "${reference.service}"`;
	const sized = checkSize(text, label);
	if (sized.isErr()) {
		return Err([sized.error]);
	}

	const digest = getDigest(text);
	if (digest !== reference.digest) {
		return Err([`${label}: digest ${digest} is not ${reference.digest}`]);
	}

	const document = parseJson(text, label);
	return document.isErr()
		? Err([document.error])
		: checkService(reference, document.value, label);
}

function checkService(
	reference: PartReference,
	document: unknown,
	label: string,
): Result<Service, readonly string[]> {
	const checked = serviceSchema.safeParse(document);
	if (!checked.success) {
		return Err(describeIssues(label, checked.error, document));
	}

	return checked.data.name === reference.service
		? Ok(checked.data)
		: Err([`${label}: holds the service "${checked.data.name}"`]);
}
