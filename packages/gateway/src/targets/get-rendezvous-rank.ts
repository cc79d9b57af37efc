/** Ranks hosts for a key, such as a target, for rendezvous hashing. */

import {createHash} from 'node:crypto';

/**
 * Gets the rank of a host for a key.
 *
 * @param host - The name or the address of the host.
 * @param key - What hosts are ranked for: a target or a client account.
 * @returns An evenly distributed number, the same on all hosts; the lowest rank wins.
 */
export function getRendezvousRank(host: string, key: string): number {
	return createHash('sha256').update(`${host} ${key}`).digest().readUInt32BE(0);
}
