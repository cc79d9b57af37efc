/** Idempotency keys that carry the time at which they were made. */

import {Buffer} from 'node:buffer';
import {makeId, type IdempotencyKey} from '@bilberryscale/core';
import {UUID} from 'uuidv7';

const timeBytes = 6;
const uuidVersion = 7;

/**
 * Tells whether a text is a UUIDv7.
 *
 * @param text - What the caller sent.
 * @returns True if it is one.
 */
export function isTimedKey(text: string): text is IdempotencyKey {
	return getUuid(text)?.getVersion() === uuidVersion;
}

/**
 * Gets the time that a key carries.
 *
 * @param key - The key.
 * @returns Milliseconds since the Unix epoch.
 */
export function getKeyTimeMs(key: IdempotencyKey): number {
	const bytes = UUID.parse(key).bytes.subarray(0, timeBytes);
	return Buffer.from(bytes).readUIntBE(0, timeBytes);
}

/**
 * Gets a key in the one form under which it is remembered.
 *
 * @param text - A UUIDv7 in any of its written forms.
 * @returns The key in lower case with hyphens.
 */
export function normaliseKey(text: IdempotencyKey): IdempotencyKey {
	return makeId<IdempotencyKey>(UUID.parse(text).toString());
}

function getUuid(text: string): UUID | undefined {
	try {
		return UUID.parse(text);
	} catch {
		return undefined;
	}
}
