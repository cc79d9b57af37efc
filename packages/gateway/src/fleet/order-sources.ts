/** Orders the sources from which a host reads the snapshot, so that few hosts read the store. */

import type {DataCentreId} from '@bilberryscale/core';
import type {SnapshotSource, SourceState} from '../snapshot/snapshot-source.js';
import type {MemberRecord, Membership} from './membership.js';

/** This host, the fleet's membership and the possible sources. */
export type OrderSourcesOptions = {
	readonly membership: Pick<
		Membership,
		'getSortedHosts' | 'getLiveDataCentres'
	>;
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
/** So many hosts of a data centre are tried by those before them, too. */
const firstHostCount = 3;

/**
 * Gets the sources of this host in the order in which they are tried.
 *
 * @remarks The first host of the first data centre, by sort order, reads the
 * store. The first host of each other data centre reads from that host, and all
 * other hosts read from the first host of their data centre. A host whose source
 * fails tries two more hosts before the store, which would otherwise be read by
 * all hosts of a data centre at once. Hosts that failed or were stale a short time
 * ago are passed over, so that the next ones take their place: if the first hosts
 * have lost the store, the others read from the first that has not. A host reads
 * from a later one only if both are among the first or it has lost the store itself,
 * so that hosts that reach the store don't read from each other. There is no
 * election: hosts that disagree on the order only cause an extra read of the store.
 * @param options - This host, the membership and the possible sources.
 * @param state - What this host has read, and which sources it can use; without a
 * snapshot it reads the store first.
 * @returns The sources.
 */
export function orderSources(
	options: OrderSourcesOptions,
	state: SourceState,
): SnapshotSource[] {
	const {membership, address, dataCentre, store, getPeer} = options;
	const {hasSnapshot} = state;
	const sortedHosts = membership.getSortedHosts(dataCentre);
	const localPeers = getLocalPeers(options, state, sortedHosts);
	const otherDataCentres = membership
		.getLiveDataCentres()
		.filter((other) => other !== dataCentre);
	const remotePeers = otherDataCentres
		.slice(0, maxRemotePeers)
		.map(
			(other) =>
				getUsablePeers(
					membership.getSortedHosts(other),
					{getPeer, isUsable: state.isUsable},
					1,
				)[0]!,
		);
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
		return preferCurrent([store, ...remotePeers, ...localPeers], state);
	}

	if (isFirstInDataCentre && firstRemotePeer !== undefined) {
		return preferCurrent(
			[firstRemotePeer, store, ...otherRemotePeers, ...localPeers],
			state,
		);
	}

	return preferCurrent(
		[
			...localPeers,
			...(firstRemotePeer === undefined ? [] : [firstRemotePeer]),
			store,
			...otherRemotePeers,
		],
		state,
	);
}

function getLocalPeers(
	{address, getPeer}: OrderSourcesOptions,
	{isStoreDown, isUsable}: SourceState,
	sortedHosts: readonly MemberRecord[],
): SnapshotSource[] {
	const rank = sortedHosts.findIndex((host) => host.address === address);
	const candidates = sortedHosts.filter(
		(host, index) =>
			host.address !== address &&
			(index < Math.max(firstHostCount, rank) || isStoreDown),
	);
	return getUsablePeers(candidates, {getPeer, isUsable}, maxLocalPeers);
}

/** Gets the first hosts that can be used; if there are none, the first ones. */
function getUsablePeers(
	hosts: readonly MemberRecord[],
	{
		getPeer,
		isUsable,
	}: Pick<OrderSourcesOptions, 'getPeer'> & Pick<SourceState, 'isUsable'>,
	count: number,
): SnapshotSource[] {
	const usable: SnapshotSource[] = [];
	for (const host of hosts) {
		const peer = getPeer(host);
		if (isUsable(peer)) {
			usable.push(peer);
		}

		if (usable.length === count) {
			break;
		}
	}

	return usable.length > 0
		? usable
		: hosts.slice(0, count).map((host) => getPeer(host));
}

/**
 * Puts the source that the host reads from before peers that are not reliable and before
 * all but one that may have recovered, since each may take a while to fail. Sources that
 * come before it otherwise stay there.
 */
function preferCurrent(
	sources: readonly SnapshotSource[],
	{current, getReliability}: SourceState,
): SnapshotSource[] {
	if (current === undefined || sources[0]?.name === current.name) {
		return [...sources];
	}

	let suspectCount = 0;
	const isTrusted = (source: SnapshotSource): boolean => {
		if (source.isStore) {
			return true;
		}

		const reliability = getReliability(source);
		suspectCount += reliability === 'suspect' ? 1 : 0;
		return (
			reliability === 'reliable' ||
			(reliability === 'suspect' && suspectCount === 1)
		);
	};

	const end = sources.findIndex(
		({name, isStore}, index) => name === current.name || (isStore && index > 0),
	);
	const preferred = sources
		.slice(0, end === -1 ? undefined : end)
		.filter((source) => isTrusted(source));
	const others = sources.filter(
		(source) => source.name !== current.name && !preferred.includes(source),
	);
	return [...preferred, current, ...others];
}
