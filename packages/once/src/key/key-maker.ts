/** Makes keys for requests that came without one. */

import {
	makeId,
	type IdempotencyKey,
	type RandomSource,
} from '@bilberryscale/core';
import {UUID, V7Generator} from 'uuidv7';
import type {Bucket} from '../tenure/bucket.js';

const rollbackMs = 0;
const wordRange = 2 ** 32;

/** Makes keys that are dated by the fleet's time. */
export class KeyMaker {
	readonly #generator: V7Generator;

	/**
	 * @param random - Where the random bits come from.
	 */
	constructor(random: RandomSource) {
		this.#generator = new V7Generator({
			nextUint32: () => Math.floor(random() * wordRange),
		});
		this.#generator.setRollbackAllowance(rollbackMs);
	}

	/**
	 * Makes a key.
	 *
	 * @param fleetMs - The fleet time.
	 * @param bucket - The bucket that the key shall have.
	 * @returns The key.
	 */
	make(fleetMs: number, bucket: Bucket): IdempotencyKey {
		const made = this.#generator.generateOrResetWithTs(Math.floor(fleetMs));
		const bytes = Uint8Array.from(made.bytes);
		bytes[bytes.length - 1] = bucket;
		return makeId<IdempotencyKey>(UUID.ofInner(bytes).toString());
	}
}
