/** How many hosts must confirm a tenure. */

/**
 * Gets the number of published hosts that must grant a bucket.
 *
 * @remarks Two quorums have a host in common as long as each of the two lists
 * lacks at most `listDifference` hosts of the other.
 * @param hostCount - The number of published hosts.
 * @param listDifference - How many hosts another copy of the list may lack.
 * @returns The quorum; above `hostCount` if no quorum can be safe.
 */
export function getQuorum(hostCount: number, listDifference: number): number {
	const allowed = Math.min(listDifference, Math.floor((hostCount - 1) / 3));
	return Math.floor((hostCount + Math.max(0, allowed)) / 2) + 1;
}
