import {ManualClock, makeSeededRandom} from '@bilberryscale/core';
import {describe, it} from '@bilberryscale/testing';
import {Err, Ok} from 'ts-results-es';
import * as assert from 'uvu/assert';
import type {RoutingSnapshot} from '../../src/plan/routing-snapshot.js';
import {GatewayMetrics} from '../../src/records/gateway-metrics.js';
import {SnapshotFeed} from '../../src/snapshot/snapshot-feed.js';
import {
	decodeTestItem,
	makeChanges,
	makeRemoval,
	makeTestLog,
	makeUpdate,
	ScriptedSource,
	testBudget,
} from '../fixtures.js';

const readFailed = Err({isHistoryGone: false, detail: 'no answer'});
const historyGone = Err({isHistoryGone: true, detail: 'status 410'});

async function flushMicrotasks(): Promise<void> {
	for (let turn = 0; turn < 20; turn++) {
		await Promise.resolve();
	}
}

function makeFixture(
	sources: readonly ScriptedSource[] | (() => readonly ScriptedSource[]),
	hostCount = 3,
	expectsPeers = false,
) {
	const clock = new ManualClock();
	const {log, lines} = makeTestLog(clock);
	let snapshot: RoutingSnapshot | undefined;
	let isCaughtUp = false;
	const metrics = new GatewayMetrics();
	const getCurrentSources = () =>
		typeof sources === 'function' ? sources() : sources;
	const noStore = new ScriptedSource('store', true);
	const getStore = () =>
		getCurrentSources().find(({isStore}) => isStore) ?? noStore;
	const feed = new SnapshotFeed({
		clock,
		random: makeSeededRandom(1),
		log,
		metrics: metrics.snapshot,
		decode: decodeTestItem,
		address: 'self',
		getSources: getCurrentSources,
		directStore: {
			name: 'store',
			isStore: true,
			readAll: async (allowsStale) => getStore().readAll(allowsStale),
			readChanges: async (position, waitMs) =>
				getStore().readChanges(position, waitMs),
		},
		budget: testBudget,
		getRank: () => 3,
		getHostCount: () => hostCount,
		expectsPeers: () => expectsPeers,
		onSnapshot(next) {
			snapshot = next;
		},
		onCaughtUp() {
			isCaughtUp = true;
		},
	});
	return {
		clock,
		feed,
		metrics,
		lines,
		getTargets: () => [...(snapshot?.targets.keys() ?? [])].join(' '),
		isCaughtUp: () => isCaughtUp,
		async run(durationMs: number) {
			await flushMicrotasks();
			for (let elapsedMs = 0; elapsedMs < durationMs; elapsedMs += 20) {
				clock.advance(20);
				await flushMicrotasks();
			}
		},
	};
}

describe('SnapshotFeed', () => {
	describe('run', () => {
		it('is caught up only after it has read the changes that a stale full read lacks', async () => {
			const store = new ScriptedSource('store', true);
			store.scriptedResults.push(
				Ok(makeChanges(5, [makeUpdate('a', 4)], true)),
				Ok(makeChanges(6, [makeUpdate('b', 6)])),
			);
			const fixture = makeFixture([store]);
			void fixture.feed.run();
			await fixture.run(20);
			assert.equal(store.reads.slice(0, 2), [
				'all, stale allowed',
				'after 5, no wait',
			]);
			assert.is(fixture.getTargets(), 'a b');
			assert.is(fixture.isCaughtUp(), true);
			fixture.feed.stop();
		});

		describe('a start of many hosts at once', () => {
			const makeStore = () => {
				const store = new ScriptedSource('store', true);
				store.scriptedResults.push(
					Ok(makeChanges(5, [makeUpdate('a', 4)], true)),
					Ok(makeChanges(5, [])),
				);
				return store;
			};

			it('leaves the store to others until it hears of them', async () => {
				const store = makeStore();
				const peer = new ScriptedSource('peer', false);
				let sources = [store];
				const fixture = makeFixture(() => sources, 3, true);
				void fixture.feed.run();
				await fixture.run(200);
				assert.is(fixture.isCaughtUp(), true);
				assert.is(store.reads.length, 2);
				sources = [peer, store];
				await fixture.run(400);
				assert.ok(peer.reads.length > 0);
				assert.is(store.reads.length, 2);
				fixture.feed.stop();
			});

			it('watches the store if it hears of none', async () => {
				const store = makeStore();
				const fixture = makeFixture([store], 1, true);
				void fixture.feed.run();
				await fixture.run(1000);
				assert.ok(store.reads.length > 2);
				fixture.feed.stop();
			});
		});

		it('reads all items again when the change history is gone', async () => {
			const store = new ScriptedSource('store', true);
			store.scriptedResults.push(
				Ok(makeChanges(5, [makeUpdate('a', 4), makeUpdate('b', 4)], true)),
				Ok(makeChanges(5, [])),
				historyGone,
				Ok(makeChanges(9, [makeUpdate('b', 4)], true)),
			);
			const fixture = makeFixture([store]);
			void fixture.feed.run();
			await fixture.run(600);
			assert.equal(store.reads.slice(2, 4), ['after 5', 'all']);
			assert.is(fixture.getTargets(), 'b');
			fixture.feed.stop();
		});

		it('keeps targets whose entries expired for two seconds after the store recovers', async () => {
			const store = new ScriptedSource('store', true);
			store.scriptedResults.push(
				Ok(makeChanges(5, [makeUpdate('a', 4), makeUpdate('b', 4)], true)),
				Ok(makeChanges(5, [])),
				readFailed,
				Ok(makeChanges(8, [makeRemoval('a', 7), makeRemoval('b', 8)])),
				Ok(makeChanges(9, [makeUpdate('b', 9)])),
			);
			const fixture = makeFixture([store]);
			void fixture.feed.run();
			await fixture.run(1000);
			assert.is(fixture.getTargets(), 'a b');
			await fixture.run(2500);
			assert.is(fixture.getTargets(), 'b');
			assert.ok(
				fixture.lines.some(({message}) => message === 'dependency regained'),
			);
			fixture.feed.stop();
		});

		it('reads the next source if the first is stale', async () => {
			const peer = new ScriptedSource('host 1', false);
			const store = new ScriptedSource('store', true);
			peer.scriptedResults.push(
				Ok({...makeChanges(3, [makeUpdate('a', 3)], true), ageMs: 1e9}),
			);
			store.scriptedResults.push(Ok(makeChanges(5, [makeUpdate('b', 5)])));
			const fixture = makeFixture([peer, store]);
			void fixture.feed.run();
			await fixture.run(20);
			assert.equal(peer.reads.length, 1);
			assert.ok(store.reads.length > 0);
			assert.ok(fixture.getTargets().includes('b'));
			fixture.feed.stop();
		});

		describe('while the store is down and no peer is up to date', () => {
			function doTest(
				name: string,
				hostCount: number,
				isStoreFirst: boolean,
				expected: {readonly atLeast: number; readonly atMost: number},
			): void {
				it(name, async () => {
					const peer = new ScriptedSource('host 1', false);
					const store = new ScriptedSource('store', true);
					const stale = {
						...makeChanges(3, [makeUpdate('a', 3)], true),
						ageMs: 1e9,
					};
					for (let count = 0; count < 500; count++) {
						peer.scriptedResults.push(Ok(stale));
						store.scriptedResults.push(readFailed);
					}

					const sources = isStoreFirst ? [store, peer] : [peer, store];
					const fixture = makeFixture(sources, hostCount);
					void fixture.feed.run();
					await fixture.run(10_000);
					fixture.feed.stop();
					const count = store.reads.length;
					assert.ok(
						count >= expected.atLeast && count <= expected.atMost,
						`${count} reads of the store`,
					);
				});
			}

			const frequentReads = {atLeast: 20, atMost: 60};
			doTest('reads it often in a small fleet', 16, false, {
				atLeast: 10,
				atMost: 30,
			});
			doTest('reads it rarely in a large fleet', 96, false, {
				atLeast: 4,
				atMost: 7,
			});
			doTest(
				'reads it often if it is the first source',
				96,
				true,
				frequentReads,
			);
		});

		it('soon reads again from a peer that was stale', async () => {
			const peer = new ScriptedSource('host 1', false);
			const store = new ScriptedSource('store', true);
			const stale = {...makeChanges(3, [makeUpdate('a', 3)], true), ageMs: 1e9};
			peer.scriptedResults.push(
				Ok(stale),
				Ok(stale),
				Ok(makeChanges(4, [makeUpdate('b', 4)])),
			);
			for (let count = 0; count < 500; count++) {
				store.scriptedResults.push(readFailed);
			}

			const fixture = makeFixture([peer, store], 96);
			void fixture.feed.run();
			await fixture.run(1500);
			assert.ok(fixture.getTargets().includes('b'));
			fixture.feed.stop();
		});

		it('counts a read of a stale snapshot as failed only', async () => {
			const peer = new ScriptedSource('host 1', false);
			const stale = {...makeChanges(3, [makeUpdate('a', 3)], true), ageMs: 1e9};
			peer.scriptedResults.push(Ok(stale));
			const fixture = makeFixture([peer]);
			void fixture.feed.run();
			await flushMicrotasks();
			fixture.feed.stop();
			const text = await fixture.metrics.getText();
			assert.equal(
				text
					.split('\n')
					.filter(
						(line) =>
							line.startsWith('bilberryscale_') &&
							line.includes('source="peer"'),
					),
				[
					'bilberryscale_platform_reads_total{source="peer",outcome="failed"} 1',
				],
			);
		});

		it('logs why it no longer reads from a peer', async () => {
			const peer = new ScriptedSource('host 1', false);
			const store = new ScriptedSource('store', true);
			const first = makeChanges(3, [makeUpdate('a', 3)], true);
			peer.scriptedResults.push(
				Ok(first),
				Ok({...makeChanges(3, []), ageMs: 5000}),
			);
			const fixture = makeFixture([peer, store]);
			void fixture.feed.run();
			await fixture.run(1000);
			assert.equal(
				fixture.lines
					.filter(({message}) => message === 'knowledge source lost')
					.map(({source, detail}) => [source, detail]),
				[['host 1', 'its snapshot is 5000 ms old']],
			);
			fixture.feed.stop();
		});

		it('logs how far each failed read came and how many have failed in a row', async () => {
			const store = new ScriptedSource('store', true);
			const progress = {receivedBytes: 3, expectedBytes: 10, silentMs: 450};
			const failed = Err({isHistoryGone: false, detail: 'cut', progress});
			store.scriptedResults.push(
				failed,
				failed,
				Ok(makeChanges(5, [makeUpdate('a', 4)], true)),
				failed,
			);
			const fixture = makeFixture([store]);
			void fixture.feed.run();
			await fixture.run(500);
			fixture.feed.stop();
			const logged = fixture.lines
				.filter(({message}) => message === 'snapshot read failed')
				.map(({receivedBytes, expectedBytes, silentMs, failureCount}) => [
					receivedBytes,
					expectedBytes,
					silentMs,
					failureCount,
				]);
			assert.equal(logged.slice(0, 3), [
				[3, 10, 450, 1],
				[3, 10, 450, 2],
				[3, 10, 450, 1],
			]);
		});

		it('waits for changes only at its current source', async () => {
			const peer = new ScriptedSource('host 1', false);
			const store = new ScriptedSource('store', true);
			peer.scriptedResults.push(
				Ok(makeChanges(3, [makeUpdate('a', 3)], true)),
				Ok(makeChanges(3, [])),
				readFailed,
			);
			store.scriptedResults.push(
				Ok(makeChanges(5, [])),
				Ok(makeChanges(5, [])),
			);
			const fixture = makeFixture([peer, store]);
			void fixture.feed.run();
			await fixture.run(500);
			assert.is(peer.reads.at(-1), 'after 3');
			assert.equal(store.reads.slice(0, 2), ['after 3, no wait', 'after 5']);
			fixture.feed.stop();
		});

		describe('while the store fails this host', () => {
			function doTest(
				name: string,
				input: {readonly peerAgeMs: number; readonly via: readonly string[]},
				expected: {readonly via: readonly string[]; readonly isFresh: boolean},
			): void {
				it(name, async () => {
					const store = new ScriptedSource('store', true);
					const peer = new ScriptedSource('host 1', false);
					store.scriptedResults.push(
						Ok(makeChanges(5, [makeUpdate('a', 4)], true)),
						Ok(makeChanges(5, [])),
					);
					for (let count = 0; count < 500; count++) {
						const {peerAgeMs: ageMs, via} = input;
						peer.scriptedResults.push(Ok({...makeChanges(5, []), ageMs, via}));
					}

					const fixture = makeFixture([store, peer]);
					void fixture.feed.run();
					await fixture.run(300);
					assert.ok(peer.reads.length > 0);
					const changes = fixture.feed.getChangesAfter({era: 0, revision: 5});
					assert.is(changes.ageMs < 1000, expected.isFresh);
					assert.equal(changes.via, expected.via);
					fixture.feed.stop();
				});
			}

			doTest(
				'its snapshot is unconfirmed if the peer has it from this host',
				{peerAgeMs: 30, via: ['1', '2', 'self']},
				{via: ['self'], isFresh: false},
			);
			doTest(
				'its snapshot is unconfirmed if the peer has an old one',
				{peerAgeMs: 2400, via: ['1']},
				{via: ['self'], isFresh: false},
			);
			doTest(
				'its snapshot is as fresh as that of a peer that does not depend on it',
				{peerAgeMs: 30, via: ['1', '2']},
				{via: ['self', '1', '2'], isFresh: true},
			);
		});

		it('does not go back to a peer of a former era of the store', async () => {
			const peer = new ScriptedSource('host 1', false);
			const store = new ScriptedSource('store', true);
			const isWhole = true;
			peer.scriptedResults.push(
				Ok(makeChanges(90, [makeUpdate('a', 4)], isWhole, 1)),
				Ok(makeChanges(91, [makeUpdate('b', 91)], false, 1)),
			);
			store.scriptedResults.push(
				Ok(makeChanges(50, [makeUpdate('c', 20)], isWhole, 2)),
			);
			let sources = [peer];
			const fixture = makeFixture(() => sources);
			void fixture.feed.run();
			await fixture.run(100);
			sources = [store];
			await fixture.run(200);
			sources = [peer];
			await fixture.run(200);
			fixture.feed.stop();
			assert.equal(fixture.feed.position, {era: 2, revision: 50});
			assert.ok(!fixture.getTargets().includes('b'));
			assert.ok(
				fixture.lines.some(
					({message}) => message === 'store restored from an older copy',
				),
			);
		});

		it('notifies waiting peers at once when the store goes down', async () => {
			const store = new ScriptedSource('store', true);
			store.scriptedResults.push(
				Ok(makeChanges(5, [makeUpdate('a', 4)], true)),
				Ok(makeChanges(5, [])),
				readFailed,
			);
			const fixture = makeFixture([store]);
			void fixture.feed.run();
			await fixture.run(100);
			let hasResumed = false;
			const wait = async () => {
				await fixture.feed.waitForChange({era: 0, revision: 5}, 10_000);
				hasResumed = true;
			};

			void wait();
			await fixture.run(300);
			assert.is(hasResumed, true);
			assert.ok(
				fixture.feed.getChangesAfter({era: 0, revision: 5}).ageMs > 10_000,
			);
			fixture.feed.stop();
		});
	});
});
