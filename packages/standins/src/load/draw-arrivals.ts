/** Draws the arrival times of the calls of a load. */

import {makeSeededRandom, type RandomSource} from '@bilberryscale/core';
import type {LoadPlan, ServiceLoad} from './load-plan.js';

/** A call and its arrival time. */
export type ScheduledCall = {
	readonly load: ServiceLoad;
	/** When the call is due, in milliseconds since the start of the load. */
	readonly dueMs: number;
};

const msPerSecond = 1000;

/**
 * Draws the arrivals of each service from a Poisson process with its mean rate.
 *
 * @param plan - The load.
 * @returns The calls of all services in the order of their arrival.
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
	const meanIntervalMs = msPerSecond / load.callsPerSecond;
	const calls: ScheduledCall[] = [];
	let dueMs = 0;
	for (;;) {
		dueMs += -Math.log(1 - random()) * meanIntervalMs;
		if (dueMs >= durationMs) {
			return calls;
		}

		calls.push({load, dueMs});
	}
}
