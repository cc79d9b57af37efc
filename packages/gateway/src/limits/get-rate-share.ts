/** Divides the request rate that a target accepts among the hosts, without any message between them. */

import type {DataCentreId} from '@bilberryscale/core';
import type {KnownPlace} from '../fleet/host-places.js';
import type {RegisteredTarget} from '../plan/registered-target.js';
import {getRendezvousRank} from '../targets/get-rendezvous-rank.js';

/** Where a host is. */
export type HostPlace = {
	/** Its IP address. */
	readonly address: string;
	readonly dataCentre: DataCentreId;
};

/** A target with a limit and the hosts that may send to it. */
export type RateShareOptions = {
	/** How many requests a second the target accepts from all hosts together. */
	readonly perSecond: number;
	readonly target: Pick<RegisteredTarget, 'id' | 'dataCentre'>;
	/** The host whose share is computed. */
	readonly self: HostPlace;
	/** The other hosts that it knows of. */
	readonly peers: readonly KnownPlace[];
};

/** Share of the limit that is given out, since hosts that do not know of each other yet give out more together. */
const usedShare = 0.75;

/**
 * Gets the part of a target's limit that a host may use. Only a few hosts get
 * one: if each host had a part, those that have sent nothing for a while could
 * together send far more than the limit at once.
 *
 * @param options - The limit, the target and the hosts.
 * @returns Requests per second; 0 for most hosts.
 */
export function getRateShare({
	perSecond,
	target,
	self,
	peers,
}: RateShareOptions): number {
	const holderCount = Math.min(peers.length, Math.floor(perSecond)) + 1;
	const ownRank = getRank(self, target);
	const betterCount = peers.filter((peer) => {
		const rank = getRank(peer, target);
		return rank === ownRank ? peer.address < self.address : rank < ownRank;
	}).length;
	return betterCount < holderCount ? (usedShare * perSecond) / holderCount : 0;
}

/** Ranks hosts in the target's data centre before all others, and before those whose data centre is unknown. */
function getRank(
	{address, dataCentre}: KnownPlace,
	target: RateShareOptions['target'],
): number {
	const remoteOffset = dataCentre === target.dataCentre ? 0 : 2 ** 32;
	return getRendezvousRank(address, target.id) + remoteOffset;
}
