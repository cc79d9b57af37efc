/** Chooses the subset of targets that a host normally uses, to limit its connections. */

import type {TargetState} from '../targets/target-state.js';

/** Gets the rank of a target at a host; the host prefers targets with lower ranks. */
export type GetTargetRank = (state: TargetState) => number;

/**
 * Keeps ranks, since they are needed for each round of probes and never change.
 *
 * @param getRank - Computes the rank of a target.
 * @returns Gets the rank of a target, computed at its first use.
 */
export function memoizeRank(getRank: GetTargetRank): GetTargetRank {
	const ranks = new WeakMap<TargetState, number>();
	return (state) => {
		const known = ranks.get(state);
		if (known !== undefined) {
			return known;
		}

		const rank = getRank(state);
		ranks.set(state, rank);
		return rank;
	};
}

/**
 * Chooses targets by rendezvous hashing: the subset changes little when targets
 * come and go, and the subsets of different hosts spread over all targets.
 *
 * @param states - The targets.
 * @param getRank - Gets the rank of a target at this host.
 * @param maxCount - The maximum number of targets.
 * @returns The subset; all targets if there are no more than that.
 */
export function getTargetSubset(
	states: readonly TargetState[],
	getRank: GetTargetRank,
	maxCount: number,
): readonly TargetState[] {
	if (states.length <= maxCount) {
		return states;
	}

	return orderByRank(states, getRank).slice(0, maxCount);
}

/**
 * Orders targets by rendezvous hashing: each host has its own order, which it keeps.
 *
 * @param states - The targets.
 * @param getRank - Gets the rank of a target at this host.
 * @returns The targets, those that the host uses first at the beginning.
 */
export function orderByRank(
	states: readonly TargetState[],
	getRank: GetTargetRank,
): readonly TargetState[] {
	return states.toSorted((a, b) => getRank(a) - getRank(b));
}
