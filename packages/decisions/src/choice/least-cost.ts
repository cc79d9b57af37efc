/** Chooses by the time that a call is expected to take. */

import type {ServiceAverages} from '../target/service-averages.js';
import type {TargetState} from '../target/target-state.js';
import {getRandomItem} from '../utils/get-random-item.js';
import type {TargetChoice} from './target-choice.js';

/** How many random candidates are compared. */
export type LeastCostOptions = {
	readonly sampleSize: number;
};

/** A target counts as slow from this multiple of its peers' latency. */
const slowRatio = 1.5;

/**
 * Makes a choice of the least expected time among a few random candidates.
 *
 * @param options - How many candidates are compared.
 * @returns The choice.
 */
export function makeLeastCost(options: LeastCostOptions): TargetChoice {
	return ({candidates, averages, random, nowMs}) => {
		let best = getRandomItem(candidates, random);
		let bestCostMs = getExpectedMs(best, averages, nowMs);
		for (let drawn = 1; drawn < options.sampleSize; drawn++) {
			const other = getRandomItem(candidates, random);
			const costMs = getExpectedMs(other, averages, nowMs);
			if (costMs < bestCostMs) {
				best = other;
				bestCostMs = costMs;
			}
		}

		return best;
	};
}

/**
 * Gets the time that a call is expected to take on a target.
 *
 * @param state - The target.
 * @param averages - What its peers are like.
 * @param nowMs - The monotonic time in milliseconds.
 * @returns The expected time in milliseconds, the way there and back included.
 */
export function getExpectedMs(
	state: TargetState,
	averages: ServiceAverages,
	nowMs: number,
): number {
	const load = state.estimateLoad(averages, nowMs);
	const utilisation = load / state.target.slots;
	const ratio = state.estimateLatencyMs(averages, nowMs) / averages.latencyMs;
	const slowness = Math.max(1, ratio / slowRatio);
	return (
		averages.latencyMs * slowness * (1 + utilisation ** 2) + state.roundTripMs
	);
}
