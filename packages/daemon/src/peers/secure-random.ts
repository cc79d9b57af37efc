/** Cryptographically secure random numbers, so that two hosts never generate the same key. */

import {randomInt} from 'node:crypto';

const range = 2 ** 32;

/**
 * Generates a uniformly distributed number in [0, 1).
 *
 * @returns The number.
 */
export function secureRandom(): number {
	return randomInt(range) / range;
}
