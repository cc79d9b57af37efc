/** What this host believes of the fleet. */

/** The number of hosts and this host's place among them. */
export type FleetView = {
	/** How many hosts are live; at least 1. */
	readonly size: number;
	/** This host's place in the order of host ids, from 0. */
	readonly rank: number;
};

/** The view of a host that knows of no other. */
export const loneFleet: FleetView = {size: 1, rank: 0};

const hashFactor = 31;
const hashRange = 2 ** 32;

/**
 * Gets this host's share of a number of things that the fleet may have.
 *
 * @remarks Over all ranks of one size the shares add up to the whole number;
 * which hosts get the larger shares depends on the subject.
 * @param whole - What the whole fleet may have; fractions are dropped.
 * @param subject - What it is about, such as a target's id.
 * @param fleet - The fleet.
 * @returns This host's share, which may be 0.
 */
export function getFleetShare(
	whole: number,
	subject: string,
	fleet: FleetView,
): number {
	const place = (fleet.rank + hash(subject)) % fleet.size;
	return Math.max(0, Math.ceil((Math.floor(whole) - place) / fleet.size));
}

function hash(text: string): number {
	let value = 7;
	for (let index = 0; index < text.length; index++) {
		value = (value * hashFactor + text.codePointAt(index)!) % hashRange;
	}

	return value;
}
