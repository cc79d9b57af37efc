import {ManualClock, makeSeededRandom} from '@bilberryscale/core';
import {describe, it} from '@bilberryscale/testing';
import {Err, Ok} from 'ts-results-es';
import * as assert from 'uvu/assert';
import {KnowledgeFeed} from '../../src/knowledge/knowledge-feed.js';
import type {RoutingSnapshot} from '../../src/plan/routing-snapshot.js';
import {GatewayMetrics} from '../../src/records/gateway-metrics.js';
import {
	decodeTestFact,
	makeChanges,
	makeTestLog,
	removed,
	ScriptedReader,
	set,
} from '../fixtures.js';

const lost = Err({isHistoryGone: false, detail: 'no answer'});
const gone = Err({isHistoryGone: true, detail: 'status 410'});

async function settle(): Promise<void> {
	for (let turn = 0; turn < 20; turn++) {
		await Promise.resolve();
	}
}

function makeFixture(readers: readonly ScriptedReader[], hostCount = 3) {
	const clock = new ManualClock();
	const {log, lines} = makeTestLog(clock);
	let knowledge: RoutingSnapshot | undefined;
	let isCaughtUp = false;
	const metrics = new GatewayMetrics();
	const feed = new KnowledgeFeed({
		clock,
		random: makeSeededRandom(1),
		log,
		metrics,
		decode: decodeTestFact,
		getReaders: () => readers,
		getHostCount: () => hostCount,
		onKnowledge(next) {
			knowledge = next;
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
		getTargets: () => [...(knowledge?.targets.keys() ?? [])].join(' '),
		isCaughtUp: () => isCaughtUp,
		async run(durationMs: number) {
			await settle();
			for (let elapsedMs = 0; elapsedMs < durationMs; elapsedMs += 20) {
				clock.advance(20);
				await settle();
			}
		},
	};
}

describe('KnowledgeFeed', () => {
	describe('run', () => {
		it('is caught up only after the changes that a lagging read lacks', async () => {
			const store = new ScriptedReader('store', true);
			store.script.push(
				Ok(makeChanges(5, [set('a', 4)], true)),
				Ok(makeChanges(6, [set('b', 6)])),
			);
			const fixture = makeFixture([store]);
			void fixture.feed.run();
			await fixture.run(20);
			assert.equal(store.reads.slice(0, 2), [
				'all, may lag',
				'after 5, at once',
			]);
			assert.is(fixture.getTargets(), 'a b');
			assert.is(fixture.isCaughtUp(), true);
			fixture.feed.stop();
		});

		it('reads all items anew once the history is gone', async () => {
			const store = new ScriptedReader('store', true);
			store.script.push(
				Ok(makeChanges(5, [set('a', 4), set('b', 4)], true)),
				Ok(makeChanges(5, [])),
				gone,
				Ok(makeChanges(9, [set('b', 4)], true)),
			);
			const fixture = makeFixture([store]);
			void fixture.feed.run();
			await fixture.run(600);
			assert.equal(store.reads.slice(2, 4), ['after 5', 'all']);
			assert.is(fixture.getTargets(), 'b');
			fixture.feed.stop();
		});

		it('keeps targets that lapsed with the store for two seconds', async () => {
			const store = new ScriptedReader('store', true);
			store.script.push(
				Ok(makeChanges(5, [set('a', 4), set('b', 4)], true)),
				Ok(makeChanges(5, [])),
				lost,
				Ok(makeChanges(8, [removed('a', 7), removed('b', 8)])),
				Ok(makeChanges(9, [set('b', 9)])),
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

		it('goes on to the next source if the first fails or lags', async () => {
			const peer = new ScriptedReader('host 1', false);
			const store = new ScriptedReader('store', true);
			peer.script.push(
				Ok({...makeChanges(3, [set('a', 3)], true), ageMs: 1e9}),
			);
			store.script.push(Ok(makeChanges(5, [set('b', 5)])));
			const fixture = makeFixture([peer, store]);
			void fixture.feed.run();
			await fixture.run(20);
			assert.equal(peer.reads.length, 1);
			assert.ok(store.reads.length > 0);
			assert.ok(fixture.getTargets().includes('b'));
			fixture.feed.stop();
		});

		describe('while the store is away and no peer knows more', () => {
			function doTest(
				name: string,
				hostCount: number,
				isInFront: boolean,
				expected: {readonly atLeast: number; readonly atMost: number},
			): void {
				it(name, async () => {
					const peer = new ScriptedReader('host 1', false);
					const store = new ScriptedReader('store', true);
					const old = {...makeChanges(3, [set('a', 3)], true), ageMs: 1e9};
					for (let count = 0; count < 500; count++) {
						peer.script.push(Ok(old));
						store.script.push(lost);
					}

					const readers = isInFront ? [store, peer] : [peer, store];
					const fixture = makeFixture(readers, hostCount);
					void fixture.feed.run();
					await fixture.run(10_000);
					fixture.feed.stop();
					const count = store.reads.length;
					assert.ok(
						count >= expected.atLeast && count <= expected.atMost,
						`${count} questions to the store`,
					);
				});
			}

			const often = {atLeast: 20, atMost: 60};
			doTest('asks it on in a small fleet', 16, false, {
				atLeast: 10,
				atMost: 30,
			});
			doTest('asks it seldom in a large fleet', 96, false, {
				atLeast: 4,
				atMost: 7,
			});
			doTest('asks it on as the host in front', 96, true, often);
		});

		it('learns soon from a peer that was behind', async () => {
			const peer = new ScriptedReader('host 1', false);
			const store = new ScriptedReader('store', true);
			const old = {...makeChanges(3, [set('a', 3)], true), ageMs: 1e9};
			peer.script.push(Ok(old), Ok(old), Ok(makeChanges(4, [set('b', 4)])));
			for (let count = 0; count < 500; count++) {
				store.script.push(lost);
			}

			const fixture = makeFixture([peer, store], 96);
			void fixture.feed.run();
			await fixture.run(1500);
			assert.ok(fixture.getTargets().includes('b'));
			fixture.feed.stop();
		});

		it('counts a read of old knowledge as failed only', async () => {
			const peer = new ScriptedReader('host 1', false);
			const old = {...makeChanges(3, [set('a', 3)], true), ageMs: 1e9};
			peer.script.push(Ok(old));
			const fixture = makeFixture([peer]);
			void fixture.feed.run();
			await settle();
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

		it('says why it leaves a peer that it read from', async () => {
			const peer = new ScriptedReader('host 1', false);
			const store = new ScriptedReader('store', true);
			const first = makeChanges(3, [set('a', 3)], true);
			peer.script.push(Ok(first), Ok({...makeChanges(3, []), ageMs: 5000}));
			const fixture = makeFixture([peer, store]);
			void fixture.feed.run();
			await fixture.run(1000);
			assert.equal(
				fixture.lines
					.filter(({message}) => message === 'knowledge source lost')
					.map(({source, detail}) => [source, detail]),
				[['host 1', 'its knowledge is 5000 ms old']],
			);
			fixture.feed.stop();
		});

		it('waits for changes only at the source that it reads from', async () => {
			const peer = new ScriptedReader('host 1', false);
			const store = new ScriptedReader('store', true);
			peer.script.push(
				Ok(makeChanges(3, [set('a', 3)], true)),
				Ok(makeChanges(3, [])),
				lost,
			);
			store.script.push(Ok(makeChanges(5, [])), Ok(makeChanges(5, [])));
			const fixture = makeFixture([peer, store]);
			void fixture.feed.run();
			await fixture.run(500);
			assert.is(peer.reads.at(-1), 'after 3');
			assert.equal(store.reads.slice(0, 2), ['after 3, at once', 'after 5']);
			fixture.feed.stop();
		});

		it('is no source for others while the store turns it away', async () => {
			const store = new ScriptedReader('store', true);
			const peer = new ScriptedReader('host 1', false);
			store.script.push(
				Ok(makeChanges(5, [set('a', 4)], true)),
				Ok(makeChanges(5, [])),
			);
			peer.script.push(Ok(makeChanges(5, [])), Ok(makeChanges(5, [])));
			const fixture = makeFixture([store, peer]);
			void fixture.feed.run();
			await fixture.run(300);
			assert.ok(peer.reads.length > 0);
			assert.ok(fixture.feed.getChangesAfter(5).ageMs > 10_000);
			fixture.feed.stop();
		});

		it('tells peers at once that the store is lost', async () => {
			const store = new ScriptedReader('store', true);
			store.script.push(
				Ok(makeChanges(5, [set('a', 4)], true)),
				Ok(makeChanges(5, [])),
				lost,
			);
			const fixture = makeFixture([store]);
			void fixture.feed.run();
			await fixture.run(100);
			let isWoken = false;
			const wait = async () => {
				await fixture.feed.waitForChange(5, 10_000);
				isWoken = true;
			};

			void wait();
			await fixture.run(300);
			assert.is(isWoken, true);
			assert.ok(fixture.feed.getChangesAfter(5).ageMs > 10_000);
			fixture.feed.stop();
		});
	});
});
