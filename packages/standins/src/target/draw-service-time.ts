/** Random service times. */

import type {RandomSource} from '@bilberryscale/core';

/**
 * Draws a service time from a log-normal distribution with the Box-Muller transform.
 *
 * @param meanMs - The mean of the distribution in milliseconds.
 * @param spread - The standard deviation of the logarithm.
 * @param random - The source of random numbers.
 * @returns The service time in milliseconds.
 */
export function drawServiceTimeMs(
	meanMs: number,
	spread: number,
	random: RandomSource,
): number {
	const radius = Math.sqrt(-2 * Math.log(1 - random()));
	const normal = radius * Math.cos(2 * Math.PI * random());
	const medianMs = meanMs / Math.exp(spread ** 2 / 2);
	return medianMs * Math.exp(spread * normal);
}
