/** Random number generation as an injected function. */

import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';

/** Returns a number from 0 (inclusive) to 1 (exclusive). */
export type RandomSource = () => number;

const uint32Range = 2 ** 32;
const skippedDrawCount = 16;

/**
 * Creates a reproducible random source.
 *
 * @remarks Skips the first draws of the generator, which hardly differ between small seeds.
 * @param seed - The seed; equal seeds produce equal sequences.
 * @returns The random source.
 */
export function makeSeededRandom(seed: number): RandomSource {
	const generator = xoroshiro128plus(seed);
	for (let draw = 0; draw < skippedDrawCount; draw++) {
		generator.next();
	}

	return () => toUint32(generator.next()) / uint32Range;
}

function toUint32(value: number): number {
	return value < 0 ? value + uint32Range : value;
}
