/** The canonical form over which digests and signatures are made. */

import {createHash} from 'node:crypto';
import {makeId, type Digest} from '@bilberryscale/core';
import canonicalize from 'canonicalize';

/**
 * Gets the canonical JSON text of a value, as RFC 8785 states it.
 *
 * @param value - A value that JSON can express.
 * @returns The canonical text.
 * @throws Error if JSON cannot express the value.
 */
export function getCanonicalText(value: unknown): string {
	const text = canonicalize(value);
	if (text === undefined) {
		throw new Error(`No canonical form for a value of type ${typeof value}.`);
	}

	return text;
}

/**
 * Gets the digest of a text.
 *
 * @param text - The text.
 * @returns Its SHA-256.
 */
export function getDigest(text: string): Digest {
	return makeId<Digest>(createHash('sha256').update(text).digest('hex'));
}
