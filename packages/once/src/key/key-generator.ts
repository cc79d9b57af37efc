/** Generates idempotency keys for requests that came without one. */

import {
	makeId,
	type IdempotencyKey,
	type RandomSource,
} from '@bilberryscale/core';
import {UUID, V7Generator} from 'uuidv7';
import type {Bucket} from '../lease/bucket.js';

/** With 0, an earlier time resets the generator instead of being ignored. */
const rollbackAllowanceMs = 0;
const uint32Range = 2 ** 32;

/** Generates UUIDv7 keys whose timestamp is the fleet time. */
export class KeyGenerator {
	readonly #generator: V7Generator;

	/**
	 * @param random - The source of the random bits.
	 */
	constructor(random: RandomSource) {
		this.#generator = new V7Generator({
			nextUint32: () => Math.floor(random() * uint32Range),
		});
		this.#generator.setRollbackAllowance(rollbackAllowanceMs);
	}

	/**
	 * Generates a key.
	 *
	 * @param fleetTimeMs - The fleet time, in milliseconds.
	 * @param bucket - The bucket that the key belongs to.
	 * @returns The key.
	 */
	generate(fleetTimeMs: number, bucket: Bucket): IdempotencyKey {
		const uuid = this.#generator.generateOrResetWithTs(Math.floor(fleetTimeMs));
		const bytes = Uint8Array.from(uuid.bytes);
		bytes[bytes.length - 1] = bucket;
		return makeId<IdempotencyKey>(UUID.ofInner(bytes).toString());
	}
}
