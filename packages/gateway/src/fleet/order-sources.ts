/** Orders the sources from which a host reads the snapshot, so that few hosts read the store. */

import type {DataCentreId} from '@bilberryscale/core';
import type {SnapshotSource} from '../snapshot/snapshot-source.js';
import type {MemberRecord, Membership} from './membership.js';

/** This host, the fleet's membership and the possible sources. */
export type OrderSourcesOptions = {
	readonly membership: Membership;
	readonly address: string;
	readonly dataCentre: DataCentreId;
	readonly store: SnapshotSource;
	/**
	 * Gets the reader of another host.
	 *
	 * @param member - The host.
	 * @returns The reader, always the same one for a host.
	 */
	readonly getPeer: (member: MemberRecord) => SnapshotSource;
};

/** Maximum number of hosts of this data centre that are tried. */
const maxLocalPeers = 2;
/** Maximum number of hosts of other data centres that are tried, one in each. */
const maxRemotePeers = 2;

/**
 * Gets the sources of this host in the order in which they are tried.
 *
 * @remarks The first host of the first data centre, by sort order, reads the
 * store. The first host of each other data centre reads from that host, and all
 * other hosts read from the first host of their data centre. A host whose source
 * fails tries two more hosts before the store, which would otherwise be read by
 * all hosts of a data centre at once. There is no election: hosts that disagree
 * on the order only cause an extra read of the store.
 * @param options - This host, the membership and the possible sources.
 * @param hasSnapshot - Whether this host has read a snapshot; without one it
 * reads the store first.
 * @returns The sources.
 */
export function orderSources(
	options: OrderSourcesOptions,
	hasSnapshot: boolean,
): SnapshotSource[] {
	const {membership, address, dataCentre, store, getPeer} = options;
	const sortedHosts = membership.getSortedHosts(dataCentre);
	const localPeers = sortedHosts
		.filter((member) => member.address !== address)
		.slice(0, maxLocalPeers)
		.map((member) => getPeer(member));
	const otherDataCentres = membership
		.getLiveDataCentres()
		.filter((other) => other !== dataCentre);
	const remotePeers = otherDataCentres
		.slice(0, maxRemotePeers)
		.map((other) => getPeer(membership.getSortedHosts(other)[0]!));
	const isFirstInDataCentre = sortedHosts[0]?.address === address;
	const isFirstDataCentre = otherDataCentres.every(
		(other) => dataCentre < other,
	);
	const [firstRemotePeer, ...otherRemotePeers] = remotePeers;
	if (!hasSnapshot) {
		// A whole snapshot is read, which is expensive from another data centre.
		return [store, ...localPeers, ...remotePeers];
	}

	if (isFirstInDataCentre && isFirstDataCentre) {
		return [store, ...remotePeers, ...localPeers];
	}

	if (isFirstInDataCentre && firstRemotePeer !== undefined) {
		return [firstRemotePeer, store, ...otherRemotePeers, ...localPeers];
	}

	return [
		...localPeers,
		...(firstRemotePeer === undefined ? [] : [firstRemotePeer]),
		store,
		...otherRemotePeers,
	];
}
