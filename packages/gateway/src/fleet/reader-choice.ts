/** Decides from whom a host learns what is published, so that few read the store. */

import type {DataCentreId} from '@bilberryscale/core';
import type {PublishedReader} from '../knowledge/published-reader.js';
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

/** How many hosts of the own data centre are tried before others. */
const nearPeers = 2;
/** How many hosts of other data centres are tried last. */
const farPeers = 2;

/**
 * Gets the sources of this host in the order in which they are to be tried.
 *
 * @remarks The first host of each data centre reads the store, the others read
 * from it. Nobody elects it: hosts that disagree only read the store once more.
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
	const far = membership
		.getDataCentres()
		.filter((other) => other !== dataCentre)
		.slice(0, farPeers)
		.map((other) => getPeer(membership.getRanked(other)[0]!));
	const isFirst = ranked[0]?.address === address;
	const [first, ...others] = near;
	return isFirst || !hasKnowledge || first === undefined
		? [store, ...far, ...near]
		: [first, store, ...far, ...others];
}
