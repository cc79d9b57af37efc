/** Chooses the subset of targets that a host normally uses, to limit its connections. */

import type {HostId} from '@bilberryscale/core';
import {getRendezvousRank} from '../targets/get-rendezvous-rank.js';
import type {TargetState} from '../targets/target-state.js';

/**
 * Chooses targets by rendezvous hashing: the subset changes little when targets
 * come and go, and the subsets of different hosts spread over all targets.
 *
 * @param states - The targets.
 * @param host - The host.
 * @param maxCount - The maximum number of targets.
 * @returns The subset; all targets if there are no more than that.
 */
export function getTargetSubset(
	states: readonly TargetState[],
	host: HostId,
	maxCount: number,
): readonly TargetState[] {
	if (states.length <= maxCount) {
		return states;
	}

	return orderByRank(states, host).slice(0, maxCount);
}

/**
 * Orders targets by rendezvous hashing: each host has its own order, which it keeps.
 *
 * @param states - The targets.
 * @param host - The host.
 * @returns The targets, those that the host uses first at the beginning.
 */
export function orderByRank(
	states: readonly TargetState[],
	host: HostId,
): readonly TargetState[] {
	return states
		.map((state) => ({
			state,
			rank: getRendezvousRank(host, state.registration.id),
		}))
		.toSorted((a, b) => a.rank - b.rank)
		.map(({state}) => state);
}
