/** This host's view of the fleet, and its shares of fleet-wide limits. */

/** The number of live hosts and this host's rank among them. */
export type FleetView = {
	/** The number of live hosts, with this one; at least 1. */
	readonly size: number;
	/** This host's index in the order of host ids, from 0. */
	readonly rank: number;
};

/** The view of a host that knows of no other host. */
export const singleHostFleet: FleetView = {size: 1, rank: 0};

const hashMultiplier = 31;
const hashModulus = 2 ** 32;

/**
 * Gets this host's share of a fleet-wide limit.
 *
 * @remarks The shares of all ranks add up to the limit. The key decides which
 * hosts get the larger shares, so that it's not the same hosts for every limit.
 * @param total - The limit of the whole fleet; fractions are dropped.
 * @param key - What the limit applies to, such as a target's id.
 * @param fleet - The view of the fleet.
 * @returns This host's share, which may be 0.
 */
export function getHostShare(
	total: number,
	key: string,
	fleet: FleetView,
): number {
	const position = (fleet.rank + hash(key)) % fleet.size;
	return Math.max(0, Math.ceil((Math.floor(total) - position) / fleet.size));
}

function hash(text: string): number {
	let value = 7;
	for (let index = 0; index < text.length; index++) {
		value = (value * hashMultiplier + text.codePointAt(index)!) % hashModulus;
	}

	return value;
}
