/** Idempotency keys in the form of UUIDv7, which contain a timestamp. */

import {Buffer} from 'node:buffer';
import {makeId, type IdempotencyKey} from '@bilberryscale/core';
import {UUID} from 'uuidv7';

const timestampByteCount = 6;
const uuidVersion = 7;

/**
 * Checks whether a text is a UUIDv7.
 *
 * @param text - The text that the caller sent as its key.
 * @returns Whether the text is a UUIDv7.
 */
export function isUuidV7Key(text: string): text is IdempotencyKey {
	return parseUuid(text)?.getVersion() === uuidVersion;
}

/**
 * Gets the timestamp that a key contains.
 *
 * @param key - The key.
 * @returns Milliseconds since the Unix epoch.
 */
export function getKeyTimestampMs(key: IdempotencyKey): number {
	const bytes = UUID.parse(key).bytes.subarray(0, timestampByteCount);
	return Buffer.from(bytes).readUIntBE(0, timestampByteCount);
}

/**
 * Converts a key to its canonical form, under which it is stored.
 *
 * @param text - A UUIDv7 in any textual form.
 * @returns The key in lower case with hyphens.
 */
export function normaliseKey(text: IdempotencyKey): IdempotencyKey {
	return makeId<IdempotencyKey>(UUID.parse(text).toString());
}

function parseUuid(text: string): UUID | undefined {
	try {
		return UUID.parse(text);
	} catch {
		return undefined;
	}
}
