/**
 * All 103 hosts in three data centres lose power and start at once. Guards against
 * whole snapshots that are read from hosts in other data centres, where bytes are
 * expensive, while the store or hosts of the own data centre have a snapshot, and
 * against a start that becomes slower by that.
 */

import {Buffer} from 'node:buffer';
import {
	makeId,
	makeSeededRandom,
	ManualClock,
	type DataCentreId,
} from '@bilberryscale/core';
import {describe, it} from '@bilberryscale/testing';
import {Err, Ok} from 'ts-results-es';
import * as assert from 'uvu/assert';
import {Membership} from '../../src/fleet/membership.js';
import {orderSources} from '../../src/fleet/order-sources.js';
import {GatewayMetrics} from '../../src/records/gateway-metrics.js';
import {SnapshotFeed} from '../../src/snapshot/snapshot-feed.js';
import type {
	PublishedChanges,
	SnapshotSource,
} from '../../src/snapshot/snapshot-source.js';
import {
	decodeTestItem,
	makeChanges,
	makeTestLog,
	makeUpdate,
	testBudget,
} from '../fixtures.js';

const defaultHostCount = 103;
const dataCentres = ['a', 'b', 'c'].map((id) => makeId<DataCentreId>(id));
const targetCount = 280;
const targetText = 'x'.repeat(250);
const startSpreadMs = 400;
const gossipIntervalMs = 1500;
const latencyMs = {near: 1, far: 4, store: 4};
/** A stale read of the store may lack up to this many of the latest changes. */
const maxStaleChanges = 5;

type Host = {
	readonly address: string;
	readonly dataCentre: DataCentreId;
	readonly startsAtMs: number;
	readonly membership: Membership;
	readonly feed: SnapshotFeed;
	caughtUpAtMs: number;
};

type StartFigures = {
	/** Reads of all items and their bytes, without compression. */
	readonly wholeReads: {store: number; near: number; far: number};
	readonly bytes: {near: number; far: number};
	/** All reads of the store that it answered. */
	readonly storeCalls: number;
	/** When the last host was caught up, in milliseconds. */
	readonly lastCaughtUpMs: number;
};

type StartOptions = {
	readonly hostCount?: number;
	/** How long the store is down at first, in milliseconds. */
	readonly storeDownMs?: number;
	/** How long the link of a host takes for all items of the store, in milliseconds. */
	readonly transferMs?: number;
};

/** Starts all hosts and runs them for some seconds. */
async function start({
	hostCount = defaultHostCount,
	storeDownMs = 0,
	transferMs = 0,
}: StartOptions): Promise<StartFigures> {
	const clock = new ManualClock();
	const random = makeSeededRandom(3);
	const {log} = makeTestLog(clock);
	const wholeReads = {store: 0, near: 0, far: 0};
	const bytes = {near: 0, far: 0};
	let storeCalls = 0;
	const sleep = async (durationMs: number) =>
		new Promise<void>((resolve) => {
			clock.schedule(durationMs, resolve);
		});
	const getItems = (revision: number) =>
		Array.from({length: Math.min(targetCount, revision)}, (_, index) =>
			makeUpdate(`t-${index}`, index + 1, index === 0 ? '1' : targetText),
		);
	const readStore = async (position?: number) => {
		await sleep(latencyMs.store);
		if (clock.monotonicMs() < storeDownMs) {
			return Err({isHistoryGone: false, detail: 'down'});
		}

		storeCalls++;
		if (position === undefined) {
			wholeReads.store++;
			await sleep(transferMs);
		}

		const staleCount = Math.floor(random() * maxStaleChanges);
		const revision = targetCount - (position === undefined ? staleCount : 0);
		const items = getItems(revision).filter(
			(item) => item.revision > (position ?? 0),
		);
		return Ok(makeChanges(revision, items, position === undefined));
	};

	const store: SnapshotSource = {
		name: 'store',
		isStore: true,
		readAll: async () => readStore(),
		async readChanges({revision}, waitMs) {
			const result = await readStore(revision);
			await sleep(result.isOk() ? waitMs : 0);
			return result.map((changes) => ({...changes, heldMs: waitMs}));
		},
	};
	const hosts: Host[] = [];
	const makePeer = (reader: () => Host, peer: Host): SnapshotSource => {
		const side = reader().dataCentre === peer.dataCentre ? 'near' : 'far';
		const answer = async (get: () => Promise<PublishedChanges>) => {
			await sleep(latencyMs[side]);
			if (clock.monotonicMs() < peer.startsAtMs) {
				return Err({isHistoryGone: false, detail: 'not started'});
			}

			const changes = await get();
			await sleep(latencyMs[side]);
			bytes[side] += Buffer.byteLength(JSON.stringify(changes));
			wholeReads[side] += changes.isWhole && changes.revision > 0 ? 1 : 0;
			return Ok(changes);
		};

		return {
			name: peer.address,
			isStore: false,
			readAll: async () =>
				answer(async () => peer.feed.getChangesAfter(undefined)),
			readChanges: async (position, waitMs) =>
				answer(async () => {
					const heldMs = await peer.feed.waitForChange(position, waitMs);
					return {...peer.feed.getChangesAfter(position), heldMs};
				}),
		};
	};

	for (let index = 0; index < hostCount; index++) {
		const dataCentre = dataCentres[index % 3]!;
		const address = `10.${index % 3}.0.${100 + Math.floor(index / 3)}`;
		const membership = new Membership({
			clock,
			random,
			address,
			dataCentre,
			incarnation: 1,
		});
		const feed: SnapshotFeed = new SnapshotFeed({
			clock,
			random,
			log,
			metrics: new GatewayMetrics().snapshot,
			decode: (name, text) =>
				decodeTestItem(name === 't-0' ? 'plan' : name, text),
			address,
			getSources: (state): SnapshotSource[] =>
				orderSources(
					{
						membership,
						address,
						dataCentre,
						store,
						getPeer: (member) =>
							makePeer(
								() => host,
								hosts.find((other) => other.address === member.address)!,
							),
					},
					state,
				),
			directStore: store,
			budget: testBudget,
			getRank: () =>
				membership
					.getSortedHosts(dataCentre)
					.findIndex((member) => member.address === address),
			getHostCount: () => hostCount,
			expectsPeers: () => true,
			onSnapshot: () => undefined,
			onCaughtUp() {
				host.caughtUpAtMs = clock.monotonicMs();
			},
		});
		const startsAtMs = Math.floor(random() * startSpreadMs);
		const host: Host = {
			address,
			dataCentre,
			startsAtMs,
			membership,
			feed,
			caughtUpAtMs: Number.POSITIVE_INFINITY,
		};
		hosts.push(host);
	}

	const seeds = hosts.slice(0, 3);
	const exchange = (from: Host, to: Host) => {
		if (from !== to && to.startsAtMs <= clock.monotonicMs()) {
			to.membership.add(from.membership.sampleRecords(8));
			from.membership.add(to.membership.sampleRecords(8));
		}
	};

	const gossip = (host: Host) => {
		const peers = host.membership.getLivePeers();
		const near = peers.filter(({dataCentre}) => dataCentre === host.dataCentre);
		const known = near.length > 0 ? near : peers;
		const address = known[Math.floor(random() * known.length)]?.address;
		exchange(
			host,
			hosts.find((other) => other.address === address) ?? seeds[0]!,
		);
		clock.schedule(gossipIntervalMs * (0.8 + 0.4 * random()), () => {
			gossip(host);
		});
	};

	for (const host of hosts) {
		clock.schedule(host.startsAtMs, () => {
			void host.feed.run();
			for (const seed of seeds) {
				exchange(host, seed);
			}

			clock.schedule(gossipIntervalMs * (0.8 + 0.4 * random()), () => {
				gossip(host);
			});
		});
	}

	for (let elapsedMs = 0; elapsedMs < 5000; elapsedMs += 2) {
		clock.advance(2);
		await new Promise(setImmediate);
	}

	for (const {feed} of hosts) {
		feed.stop();
	}

	return {
		wholeReads,
		storeCalls,
		bytes,
		lastCaughtUpMs: Math.max(...hosts.map(({caughtUpAtMs}) => caughtUpAtMs)),
	};
}

describe('a simultaneous start of all hosts', () => {
	/** The store's first answers give each host a snapshot; some must still read a whole one from a host that is further. */
	const maxFarReads = defaultHostCount / 10;

	it('reads few whole snapshots from other data centres while the store is up', async () => {
		const {wholeReads, lastCaughtUpMs} = await start({});
		assert.ok(wholeReads.far <= maxFarReads, JSON.stringify(wholeReads));
		assert.ok(lastCaughtUpMs <= 450, `${lastCaughtUpMs}`);
	});

	it('reads few whole snapshots from other data centres after the store was down for 1 s', async () => {
		const {wholeReads, lastCaughtUpMs} = await start({storeDownMs: 1000});
		assert.ok(wholeReads.far <= maxFarReads, JSON.stringify(wholeReads));
		assert.ok(lastCaughtUpMs <= 2000, `${lastCaughtUpMs}`);
	});

	/** The largest plan over the narrowest link. */
	const transferMs = 1600;
	for (const hostCount of [100, 312]) {
		it(`reads the store about once a host while that takes ${transferMs} ms, ${hostCount} hosts`, async () => {
			const {wholeReads, storeCalls, lastCaughtUpMs} = await start({
				hostCount,
				transferMs,
			});
			assert.is(wholeReads.store, hostCount);
			assert.ok(storeCalls <= hostCount * 3, `${storeCalls} calls`);
			assert.ok(lastCaughtUpMs <= transferMs + 1000, `${lastCaughtUpMs}`);
		});
	}
});
