/** Computes the digest by which keys of client accounts are stored and compared. */

import {hash} from 'node:crypto';
import {makeId, type Digest} from '@bilberryscale/core';

/**
 * Computes the digest of a key.
 *
 * @param key - The bytes of the key, or its text, which is encoded as UTF-8.
 * @returns The SHA-256 digest.
 */
export function getKeyDigest(key: string | Uint8Array): Digest {
	return makeId<Digest>(hash('sha256', key));
}
