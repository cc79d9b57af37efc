/** Parses signed manifests that were read from the platform or a peer. */

import {
	makeId,
	type Digest,
	type ServiceName,
	type SignerName,
} from '@bilberryscale/core';
import {Err, Ok, type Result} from 'ts-results-es';
import {z} from 'zod';
import {
	dataCentreSchema,
	distanceSchema,
	versionSchema,
} from '../model/bundle-schema.js';
import {describeIssues} from '../utils/describe-issues.js';
import {parseJson} from '../utils/parse-json.js';
import {checkSize} from './check-size.js';
import type {SignedManifest} from './published-bundle.js';
import {maxParts, maxSignatures} from './size-limits.js';

const digestPattern = /^[\da-f]{64}$/v;

const partReferenceSchema = z.strictObject({
	service: z
		.string()
		.min(1)
		.transform((value) => makeId<ServiceName>(value)),
	digest: z
		.string()
		.regex(digestPattern)
		.transform((value) => makeId<Digest>(value)),
});

const signatureSchema = z.strictObject({
	signer: z
		.string()
		.min(1)
		.transform((value) => makeId<SignerName>(value)),
	signature: z.base64(),
});

const signedManifestSchema = z.strictObject({
	manifest: z.strictObject({
		version: versionSchema,
		dataCentres: z.array(dataCentreSchema).min(1),
		distances: z.array(distanceSchema),
		parts: z.array(partReferenceSchema).min(1).max(maxParts),
	}),
	signatures: z.array(signatureSchema).max(maxSignatures),
});

/**
 * Parses a signed manifest without verifying its signatures.
 *
 * @param text - The JSON text.
 * @param label - The source of the manifest, for error messages.
 * @returns The manifest, or one message per error.
 */
export function parseSignedManifest(
	text: string,
	label: string,
): Result<SignedManifest, readonly string[]> {
	const document = checkSize(text, label).andThen(() => parseJson(text, label));
	if (document.isErr()) {
		return Err([document.error]);
	}

	const parsed = signedManifestSchema.safeParse(document.value);
	return parsed.success
		? Ok(parsed.data)
		: Err(describeIssues(label, parsed.error, document.value));
}
