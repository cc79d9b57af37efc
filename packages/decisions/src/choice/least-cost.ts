/** Selects the target with the least expected latency. */

import type {ServiceAverages} from '../target/service-averages.js';
import type {TargetState} from '../target/target-state.js';
import {getRandomItem} from '../utils/get-random-item.js';
import type {SelectionPolicy} from './selection-policy.js';

/** The options of the least-cost policy. */
export type LeastCostOptions = {
	/** The number of random candidates to compare. */
	readonly sampleSize: number;
};

/** Latencies up to this multiple of the service's mean count as normal. */
const slowLatencyRatio = 1.5;

/**
 * Makes a policy that draws a few random candidates and selects the one with
 * the least expected latency.
 *
 * @param options - The number of candidates to compare.
 * @returns The policy.
 */
export function makeLeastCost(options: LeastCostOptions): SelectionPolicy {
	return ({candidates, averages, random, nowMs}) => {
		let best = getRandomItem(candidates, random);
		let bestCostMs = getExpectedLatencyMs(best, averages, nowMs);
		for (let draws = 1; draws < options.sampleSize; draws++) {
			const other = getRandomItem(candidates, random);
			const costMs = getExpectedLatencyMs(other, averages, nowMs);
			if (costMs < bestCostMs) {
				best = other;
				bestCostMs = costMs;
			}
		}

		return best;
	};
}

/**
 * Estimates how long a call takes on a target, from its load and latency.
 *
 * @param state - The target.
 * @param averages - The averages over the targets of the service.
 * @param nowMs - The monotonic time in milliseconds.
 * @returns The expected latency in milliseconds, including the network round trip.
 */
export function getExpectedLatencyMs(
	state: TargetState,
	averages: ServiceAverages,
	nowMs: number,
): number {
	const load = state.estimateLoad(averages, nowMs);
	const utilisation = load / state.target.slots;
	const latencyRatio =
		state.estimateLatencyMs(averages, nowMs) / averages.latencyMs;
	const slowdownFactor = Math.max(1, latencyRatio / slowLatencyRatio);
	return (
		averages.latencyMs * slowdownFactor * (1 + utilisation ** 2) +
		state.roundTripMs
	);
}
