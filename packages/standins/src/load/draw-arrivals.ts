/** Draws when the calls of a load are due. */

import {makeSeededRandom, type RandomSource} from '@bilberryscale/core';
import type {LoadPlan, ServiceLoad} from './load-plan.js';

/** A call and when it is due. */
export type ScheduledCall = {
	readonly load: ServiceLoad;
	/** Milliseconds since the start of the load. */
	readonly dueMs: number;
};

const msPerSecond = 1000;

/**
 * Draws the due times of all calls.
 *
 * @param plan - The load.
 * @returns The calls in the order of their due times.
 */
export function drawArrivals(plan: LoadPlan): ScheduledCall[] {
	const random = makeSeededRandom(plan.seed);
	return plan.services
		.flatMap((load) => drawServiceArrivals(load, plan.durationMs, random))
		.toSorted((a, b) => a.dueMs - b.dueMs);
}

function drawServiceArrivals(
	load: ServiceLoad,
	durationMs: number,
	random: RandomSource,
): ScheduledCall[] {
	const meanGapMs = msPerSecond / load.callsPerSecond;
	const calls: ScheduledCall[] = [];
	let dueMs = 0;
	for (;;) {
		dueMs += -Math.log(1 - random()) * meanGapMs;
		if (dueMs >= durationMs) {
			return calls;
		}

		calls.push({load, dueMs});
	}
}
