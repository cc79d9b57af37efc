/** Unforeseeable randomness, for keys that no two hosts may share. */

import {randomInt} from 'node:crypto';

const range = 2 ** 32;

/**
 * Gets a number from 0 (included) to 1 (excluded).
 *
 * @returns The number.
 */
export function randomUnit(): number {
	return randomInt(range) / range;
}
