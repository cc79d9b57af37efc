/** Decides from whom a host learns what is published, so that few read the store. */

import type {DataCentreId} from '@bilberryscale/core';
import type {PublishedReader} from '../snapshot/snapshot-source.js';
import type {MemberRecord, Membership} from './membership.js';

/** What the choice is made from. */
export type ReaderChoiceOptions = {
	readonly membership: Membership;
	readonly address: string;
	readonly dataCentre: DataCentreId;
	readonly store: PublishedReader;
	/**
	 * Gets the reader of another host.
	 *
	 * @param member - The host.
	 * @returns The reader, the same one each time.
	 */
	readonly getPeer: (member: MemberRecord) => PublishedReader;
};

/** How many hosts of the own data centre are tried. */
const nearPeers = 2;
/** How many hosts of other data centres are tried. */
const farPeers = 2;

/**
 * Gets the sources of this host in the order in which they are to be tried.
 *
 * @remarks The first host of the first data centre reads the store, the first
 * host of each other data centre reads from it, and all others from the first
 * host of theirs. Nobody elects them: hosts that disagree only read the store
 * once more.
 * @param options - The hosts that are known.
 * @param hasKnowledge - Whether this host knows anything yet.
 * @returns The sources.
 */
export function getReaders(
	options: ReaderChoiceOptions,
	hasKnowledge: boolean,
): PublishedReader[] {
	const {membership, address, dataCentre, store, getPeer} = options;
	const ranked = membership.getRanked(dataCentre);
	const near = ranked
		.filter((member) => member.address !== address)
		.slice(0, nearPeers)
		.map((member) => getPeer(member));
	const others = membership
		.getDataCentres()
		.filter((other) => other !== dataCentre);
	const far = others
		.slice(0, farPeers)
		.map((other) => getPeer(membership.getRanked(other)[0]!));
	const isFirstHere = ranked[0]?.address === address;
	const isHereFirst = others.every((other) => dataCentre < other);
	const [firstNear, ...restNear] = near;
	const [firstFar, ...restFar] = far;
	if (!hasKnowledge || (isFirstHere && isHereFirst)) {
		return [store, ...far, ...near];
	}

	if (isFirstHere && firstFar !== undefined) {
		return [firstFar, store, ...restFar, ...near];
	}

	return firstNear === undefined
		? [store, ...far]
		: [firstNear, store, ...far, ...restNear];
}
