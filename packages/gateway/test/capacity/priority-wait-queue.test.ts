/**
 * Load: more requests than the targets of a service take, of several ranks and
 * client accounts. Guards against urgent requests that are woken after others,
 * accounts that crowd out others, and requests that wait although they can no
 * longer be on time.
 */

import {makeId, ManualClock, type TargetId} from '@bilberryscale/core';
import {describe, it} from '@bilberryscale/testing';
import * as assert from 'uvu/assert';
import {
	PriorityWaitQueue,
	type QueuedRequest,
} from '../../src/capacity/priority-wait-queue.js';
import type {ClientAccountName} from '../../src/plan/client-account.js';
import {reading} from '../fixtures.js';

const timeoutMs = 45;

function makeRequest(changes: Partial<QueuedRequest> = {}): QueuedRequest {
	return {
		service: reading,
		rank: 1,
		account: undefined,
		isReturning: false,
		position: 0,
		usefulUntilMs: Number.POSITIVE_INFINITY,
		isEligible: () => true,
		...changes,
	};
}

async function settle(): Promise<void> {
	await new Promise(setImmediate);
}

/** Lets named requests wait, wakes as many and gets their names in the order of waking. */
async function getWakeOrder(
	requests: Readonly<Record<string, Partial<QueuedRequest>>>,
): Promise<string[]> {
	const queue = new PriorityWaitQueue({clock: new ManualClock()});
	const woken: string[] = [];
	for (const [name, changes] of Object.entries(requests)) {
		const request = makeRequest(changes);
		queue.open(request);
		void queue.wait(request, timeoutMs).then(() => woken.push(name));
	}

	for (const _name of Object.keys(requests)) {
		queue.wakeFirst(reading, undefined);
		await settle();
	}

	return woken;
}

describe('PriorityWaitQueue', () => {
	describe('wakeFirst', () => {
		it('wakes the first request that may be sent to the target, not a retry at the head', async () => {
			const queue = new PriorityWaitQueue({clock: new ManualClock()});
			const woken: string[] = [];
			const target = makeId<TargetId>('i-1');
			const wait = async (name: string, changes: Partial<QueuedRequest>) => {
				const request = makeRequest(changes);
				queue.open(request);
				await queue.wait(request, timeoutMs);
				woken.push(name);
			};

			void wait('urgent retry', {rank: 0, isEligible: (id) => id !== target});
			void wait('retry', {isEligible: (id) => id !== target});
			void wait('new', {});
			queue.wakeFirst(reading, target);
			await settle();
			assert.equal(woken, ['new']);
			queue.wakeFirst(reading, makeId<TargetId>('i-2'));
			await settle();
			assert.equal(woken, ['new', 'urgent retry']);
		});

		function doTest(
			name: string,
			requests: Readonly<Record<string, Partial<QueuedRequest>>>,
			expected: string,
		): void {
			it(name, async () => {
				const order = await getWakeOrder(requests);
				assert.is(order.join(' '), expected);
			});
		}

		doTest(
			'wakes requests of one rank without accounts in the order of arrival',
			{a: {}, b: {}, c: {}},
			'a b c',
		);
		doTest(
			'wakes the most urgent rank first',
			{a: {rank: 2}, b: {rank: 0}, c: {rank: 1}, d: {rank: 0}},
			'b d c a',
		);
		doTest(
			'wakes in the order of positions within a rank',
			{a: {position: 5}, b: {position: 3}, c: {rank: 0, position: 9}},
			'c b a',
		);
		doTest(
			'wakes returning requests before new ones of their rank only',
			{a: {}, b: {isReturning: true}, c: {rank: 0}},
			'c b a',
		);
	});

	describe('wait', () => {
		async function getEnd(
			usefulUntilMs: number,
			advanceMs: number,
		): Promise<string | undefined> {
			const clock = new ManualClock();
			const queue = new PriorityWaitQueue({clock});
			let end: string | undefined;
			void queue
				.wait(makeRequest({usefulUntilMs}), timeoutMs)
				.then((reason) => {
					end = reason;
				});
			clock.advance(advanceMs);
			await settle();
			return end;
		}

		it('ends for a recheck after the timeout', async () => {
			assert.is(await getEnd(1000, timeoutMs), 'recheck');
			assert.is(await getEnd(1000, timeoutMs - 1), undefined);
		});

		it('ends at the latest useful time, not at the next recheck', async () => {
			assert.is(await getEnd(20, 19), undefined);
			assert.is(await getEnd(20, 20), 'late');
		});

		it('reports the numbers of waiting requests by rank', async () => {
			const counts: string[] = [];
			const queue = new PriorityWaitQueue({
				clock: new ManualClock(),
				onWaitingCount(_service, rank, count) {
					counts.push(`${rank}:${count}`);
				},
			});
			void queue.wait(makeRequest({rank: 2}), timeoutMs);
			void queue.wait(makeRequest({rank: 0}), timeoutMs);
			queue.wakeFirst(reading, undefined);
			assert.equal(counts, ['2:1', '0:1', '0:0']);
		});
	});

	describe('wakePreceding', () => {
		const quiet = makeId<ClientAccountName>('quiet');
		const busy = makeId<ClientAccountName>('busy');

		function doTest(
			name: string,
			waiting: Partial<QueuedRequest>,
			taking: Partial<QueuedRequest>,
			expected: number,
		): void {
			it(name, () => {
				const queue = new PriorityWaitQueue({clock: new ManualClock()});
				const served = makeRequest({account: busy});
				queue.open(served);
				const request = makeRequest(waiting);
				queue.open(request);
				queue.close(served, true);
				void queue.wait(request, timeoutMs);
				const other = makeRequest(taking);
				queue.open(other);
				assert.is(queue.wakePreceding(other, 4), expected);
			});
		}

		doTest('wakes requests of a more urgent rank', {rank: 0}, {rank: 2}, 1);
		doTest('leaves those of a less urgent rank', {rank: 2}, {rank: 0}, 0);
		doTest('leaves those of the same rank without accounts', {}, {}, 0);
		doTest(
			'wakes those of an account that was served less',
			{account: quiet},
			{account: busy},
			1,
		);
		doTest(
			'leaves those of an account that was served more',
			{account: busy},
			{account: quiet},
			0,
		);
	});

	describe('accounts of one rank', () => {
		it('are served alike while one of five asks for ten times as much', async () => {
			const clock = new ManualClock();
			const queue = new PriorityWaitQueue({clock});
			const names = ['a', 'b', 'c', 'd', 'greedy'].map((name) =>
				makeId<ClientAccountName>(name),
			);
			const served = new Map(names.map((name) => [name, 0]));
			let arrivalNumber = 0;
			const arrive = async (account: ClientAccountName) => {
				const request = makeRequest({account, position: arrivalNumber++});
				queue.open(request);
				const end = await queue.wait(request, 1000);
				queue.close(request, end === 'woken');
				served.set(account, served.get(account)! + (end === 'woken' ? 1 : 0));
			};

			for (let round = 0; round < 200; round++) {
				for (const name of names) {
					for (let count = 0; count < (name === 'greedy' ? 10 : 1); count++) {
						void arrive(name);
					}
				}

				for (let slot = 0; slot < 5; slot++) {
					queue.wakeFirst(reading, undefined);
					await settle();
				}

				clock.advance(50);
				await settle();
			}

			const counts = [...served.values()];
			const message = counts.join(' ');
			assert.ok(Math.min(...counts) >= 0.9 * 200, message);
			assert.ok(Math.max(...counts) <= 1.1 * 200, message);
		});
	});
});
