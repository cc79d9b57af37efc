/** Verifies signatures and caches the results. */

import {Buffer} from 'node:buffer';
import {verify} from 'node:crypto';
import type {Digest} from '@bilberryscale/core';
import type {TrustedKey} from './signer-key.js';

const defaultCapacity = 1024;

/** The content that a signature covers. */
export type SignedContent = {
	readonly text: string;
	/** The digest of the text. */
	readonly digest: Digest;
};

/**
 * Verifies a signature.
 *
 * @param content - The signed content.
 * @param signature - The signature in base64.
 * @param key - The key of the signer.
 * @returns True if the signature is valid.
 */
export type SignatureVerifier = (
	content: SignedContent,
	signature: string,
	key: TrustedKey,
) => boolean;

/** Verifies a signature without caching the result. */
export const verifySignature: SignatureVerifier = (content, signature, key) =>
	verify(
		undefined,
		Buffer.from(content.text),
		key.publicKey,
		Buffer.from(signature, 'base64'),
	);

/**
 * Creates a verifier that caches its results.
 *
 * @param verifier - The verifier whose results are cached.
 * @param capacity - The maximum number of cached results; the oldest result is evicted first.
 * @returns The caching verifier.
 *
 * @remarks The cache key includes the content digest, the signature and the public key itself, so that cached results remain correct after a key rotation.
 */
export function makeCachedVerifier(
	verifier: SignatureVerifier = verifySignature,
	capacity = defaultCapacity,
): SignatureVerifier {
	const results = new Map<string, boolean>();
	return (content, signature, key) => {
		const cacheKey = `${content.digest} ${signature} ${encodePublicKey(key)}`;
		const cached = results.get(cacheKey);
		if (cached !== undefined) {
			return cached;
		}

		const isValid = verifier(content, signature, key);
		results.set(cacheKey, isValid);
		evictOldest(results, capacity);
		return isValid;
	};
}

function evictOldest(results: Map<string, boolean>, capacity: number): void {
	const oldest = results.keys().next().value;
	if (results.size > capacity && oldest !== undefined) {
		results.delete(oldest);
	}
}

function encodePublicKey({publicKey}: TrustedKey): string {
	return publicKey.export({format: 'der', type: 'spki'}).toString('base64');
}
