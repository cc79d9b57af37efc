/** Canonical JSON, the input of digests and signatures. */

import {createHash} from 'node:crypto';
import {makeId, type Digest} from '@bilberryscale/core';
import canonicalize from 'canonicalize';

/**
 * Serializes a value as canonical JSON, as defined in RFC 8785.
 *
 * @param value - A value that can be represented in JSON.
 * @returns The canonical text.
 * @throws Error if the value cannot be represented in JSON.
 */
export function getCanonicalJson(value: unknown): string {
	const text = canonicalize(value);
	if (text === undefined) {
		throw new Error(
			`Cannot serialize a value of type ${typeof value} as canonical JSON.`,
		);
	}

	return text;
}

/**
 * Computes the digest of a text.
 *
 * @param text - The text.
 * @returns The SHA-256 digest.
 */
export function getDigest(text: string): Digest {
	return makeId<Digest>(createHash('sha256').update(text).digest('hex'));
}
