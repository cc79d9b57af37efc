/** Chooses the targets that a host usually asks, so that it connects to few. */

import {createHash} from 'node:crypto';
import type {HostId} from '@bilberryscale/core';
import type {TargetState} from '../targets/target-state.js';

/**
 * Gets some of the targets by rendezvous hashing: the choice hardly changes
 * when targets come and go, and hosts spread over all targets.
 *
 * @param states - The targets.
 * @param host - The host.
 * @param most - How many targets to choose.
 * @returns The chosen targets.
 */
export function getUsualTargets(
	states: readonly TargetState[],
	host: HostId,
	most: number,
): readonly TargetState[] {
	if (states.length <= most) {
		return states;
	}

	return states
		.map((state) => ({state, rank: getHash(`${host} ${state.listed.id}`)}))
		.toSorted((a, b) => a.rank - b.rank)
		.slice(0, most)
		.map(({state}) => state);
}

function getHash(text: string): number {
	return createHash('sha256').update(text).digest().readUInt32BE(0);
}
