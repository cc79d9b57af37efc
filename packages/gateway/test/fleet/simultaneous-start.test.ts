/**
 * All hosts of a large fleet start at once and know three seeds only. They must
 * soon agree on the first host of each data centre, or they read the snapshot
 * through long chains of hosts and find it too old.
 */

import {
	makeId,
	makeSeededRandom,
	ManualClock,
	type DataCentreId,
} from '@bilberryscale/core';
import {describe, it} from '@bilberryscale/testing';
import * as assert from 'uvu/assert';
import {Membership} from '../../src/fleet/membership.js';

const hostsPerDataCentre = 62;
const dataCentres = ['a', 'b', 'c', 'd', 'e'].map((name) =>
	makeId<DataCentreId>(name),
);
const randomMembersPerMessage = 8;

type Host = {
	readonly address: string;
	readonly dataCentre: DataCentreId;
	readonly membership: Membership;
};

/** Makes hosts whose addresses are not in the order in which they start. */
function makeHosts(random: () => number): Host[] {
	const clock = new ManualClock();
	const hosts = dataCentres.flatMap((dataCentre, dataCentreIndex) =>
		Array.from({length: hostsPerDataCentre}, (_, index) => {
			const address = `10.${dataCentreIndex}.0.${index + 28}`;
			const membership = new Membership({
				clock,
				random: makeSeededRandom(index + 1),
				address,
				dataCentre,
				incarnation: 1,
			});
			return {address, dataCentre, membership};
		}),
	);
	return hosts
		.map((host) => ({host, rank: random()}))
		.toSorted((a, b) => a.rank - b.rank)
		.map(({host}) => host);
}

function exchange(from: Host, to: Host): void {
	to.membership.add(from.membership.sampleRecords(randomMembersPerMessage));
	from.membership.add(to.membership.sampleRecords(randomMembersPerMessage));
}

/** Counts the hosts that know the first host of their data centre, the others read from it. */
function countAgreeing(hosts: readonly Host[]): number {
	return hosts.filter(({dataCentre, membership}) => {
		const first = membership.getSortedHosts(dataCentre)[0]!;
		return first.address.endsWith('.0.28');
	}).length;
}

describe('membership when all hosts of a large fleet start at once', () => {
	it('names the first host of their data centre to all after four exchanges', () => {
		const random = makeSeededRandom(7);
		const hosts = makeHosts(random);
		const byAddress = new Map(hosts.map((host) => [host.address, host]));
		const seeds = hosts.slice(0, 3);
		for (const host of hosts) {
			for (const seed of seeds.filter((other) => other !== host)) {
				exchange(host, seed);
			}
		}

		for (let round = 0; round < 4; round++) {
			for (const host of hosts) {
				const near = host.membership
					.getLivePeers()
					.filter(({dataCentre}) => dataCentre === host.dataCentre);
				const peers = near.length > 0 ? near : host.membership.getLivePeers();
				const partner = peers[Math.floor(random() * peers.length)]!;
				exchange(host, byAddress.get(partner.address)!);
			}
		}

		assert.is(countAgreeing(hosts), hosts.length);
	});
});
