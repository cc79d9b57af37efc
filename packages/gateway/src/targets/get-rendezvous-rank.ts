/** Ranks pairs of hosts and targets for rendezvous hashing. */

import {createHash} from 'node:crypto';
import type {TargetId} from '@bilberryscale/core';

/**
 * Gets the rank of a host and a target for each other.
 *
 * @param host - The name or the address of the host.
 * @param target - The target.
 * @returns An evenly distributed number, the same on all hosts; the lowest rank wins.
 */
export function getRendezvousRank(host: string, target: TargetId): number {
	return createHash('sha256')
		.update(`${host} ${target}`)
		.digest()
		.readUInt32BE(0);
}
