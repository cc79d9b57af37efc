/** Determines which hosts hold a part of the limit of a cold target. */

import type {TargetId} from '@bilberryscale/core';
import {getRendezvousRank} from '../targets/get-rendezvous-rank.js';

/**
 * Gets the hosts that hold a part. Only a few do: if each host had a part, those
 * that have sent nothing for a while could together send far more than the limit.
 *
 * @param target - The target; the same for all its incarnations, since hosts learn of a new one at different times.
 * @param hosts - The addresses of all hosts.
 * @param count - How many hold a part.
 * @returns Their addresses; the same on all hosts that know the same ones.
 */
export function getWarmUpHolders(
	target: TargetId,
	hosts: readonly string[],
	count: number,
): readonly string[] {
	return hosts
		.map((address) => ({
			address,
			rank: getRendezvousRank(address, target),
		}))
		.toSorted((a, b) => a.rank - b.rank || (a.address < b.address ? -1 : 1))
		.slice(0, count)
		.map(({address}) => address);
}
