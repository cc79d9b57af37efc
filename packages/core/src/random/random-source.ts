/** Randomness as a function that is passed in. */

import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';

/** Gives a number from 0 (included) to 1 (excluded). */
export type RandomSource = () => number;

const range = 2 ** 32;
const skippedDraws = 16;

/**
 * Makes a reproducible random source.
 *
 * @remarks The first draws of the generator hardly depend on a small seed, so
 * that they are skipped.
 * @param seed - The seed; equal seeds give equal sequences.
 * @returns The source.
 */
export function makeSeededRandom(seed: number): RandomSource {
	const generator = xoroshiro128plus(seed);
	for (let draw = 0; draw < skippedDraws; draw++) {
		generator.next();
	}

	return () => getUnsigned(generator.next()) / range;
}

function getUnsigned(value: number): number {
	return value < 0 ? value + range : value;
}
