/** The number of hosts that must grant a lease. */

/**
 * Gets the number of published hosts that must grant a bucket.
 *
 * @remarks Any two quorums have a host in common as long as each of the two
 * lists lacks at most `maxListDifference` hosts of the other.
 * @param hostCount - The number of published hosts.
 * @param maxListDifference - The maximum number of hosts that another copy
 * of the list may lack.
 * @returns The quorum; greater than `hostCount` if no quorum is safe.
 */
export function getQuorum(
	hostCount: number,
	maxListDifference: number,
): number {
	const difference = Math.min(
		maxListDifference,
		Math.floor((hostCount - 1) / 3),
	);
	return Math.floor((hostCount + Math.max(0, difference)) / 2) + 1;
}
