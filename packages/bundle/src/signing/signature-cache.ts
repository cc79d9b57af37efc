/** Remembers which signatures were verified, so that each is verified once. */

import {Buffer} from 'node:buffer';
import {verify} from 'node:crypto';
import type {Digest} from '@bilberryscale/core';
import type {TrustedKey} from './signer-key.js';

const defaultCapacity = 1024;

/** What was signed. */
export type SignedContent = {
	readonly text: string;
	/** The digest of the text. */
	readonly digest: Digest;
};

/**
 * Tells whether a signature holds.
 *
 * @param content - What was signed.
 * @param signature - The signature in base64.
 * @param key - The key of the signer.
 * @returns True if it holds.
 */
export type SignatureCheck = (
	content: SignedContent,
	signature: string,
	key: TrustedKey,
) => boolean;

/** Verifies one signature without remembering it. */
export const checkSignature: SignatureCheck = (content, signature, key) =>
	verify(
		undefined,
		Buffer.from(content.text),
		key.publicKey,
		Buffer.from(signature, 'base64'),
	);

/**
 * Makes a check that remembers its results.
 *
 * @param check - The check behind it.
 * @param capacity - How many results are kept; the oldest goes first.
 * @returns The check.
 *
 * @remarks A result is kept under the content, the signature and the key itself, so it stays true when keys roll over.
 */
export function makeCachedCheck(
	check: SignatureCheck = checkSignature,
	capacity = defaultCapacity,
): SignatureCheck {
	const results = new Map<string, boolean>();
	return (content, signature, key) => {
		const name = `${content.digest} ${signature} ${getFingerprint(key)}`;
		const known = results.get(name);
		if (known !== undefined) {
			return known;
		}

		const holds = check(content, signature, key);
		results.set(name, holds);
		dropOldest(results, capacity);
		return holds;
	};
}

function dropOldest(results: Map<string, boolean>, capacity: number): void {
	const oldest = results.keys().next().value;
	if (results.size > capacity && oldest !== undefined) {
		results.delete(oldest);
	}
}

function getFingerprint({publicKey}: TrustedKey): string {
	return publicKey.export({format: 'der', type: 'spki'}).toString('base64');
}
