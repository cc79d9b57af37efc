import {ManualClock} from '@bilberryscale/core';
import {describe, it} from '@bilberryscale/testing';
import * as assert from 'uvu/assert';
import type {Connection} from '../../src/upstream/connection.js';
import {TargetConnectionPool} from '../../src/upstream/target-connection-pool.js';

type Fixture = {
	readonly clock: ManualClock;
	readonly pool: TargetConnectionPool;
};

function makeFixture(limit = 10): Fixture {
	const clock = new ManualClock();
	const pool = new TargetConnectionPool({
		clock,
		origin: 'http://127.0.0.1:9',
		localAddress: '127.0.0.1',
		getHostCount: () => 1,
	});
	pool.maxFleetConnections = limit;
	return {clock, pool};
}

function completeRequest(
	{clock, pool}: Fixture,
	latencyMs: number,
): Connection {
	const connection = pool.acquire(true);
	clock.advance(latencyMs);
	pool.recordAnswer(connection);
	pool.release(connection, true);
	return connection;
}

describe('TargetConnectionPool', () => {
	describe('acquire', () => {
		function doTest(
			name: string,
			input: {readonly idleMs: number; readonly isIdempotent: boolean},
			isSame: boolean,
		): void {
			it(name, () => {
				const fixture = makeFixture();
				const former = completeRequest(fixture, 5);
				fixture.clock.advance(input.idleMs);
				const taken = fixture.pool.acquire(input.isIdempotent);
				assert.is(taken === former, isSame);
			});
		}

		doTest(
			'reuses a connection that answered recently',
			{idleMs: 900, isIdempotent: false},
			true,
		);
		doTest(
			'skips a stale connection',
			{idleMs: 1100, isIdempotent: false},
			false,
		);
		doTest(
			'reuses a stale connection for an idempotent request',
			{idleMs: 1100, isIdempotent: true},
			true,
		);

		it('stays within the limit', () => {
			const {pool} = makeFixture(2);
			const taken = Array.from({length: 5}, () => pool.acquire(true));
			assert.is(new Set(taken).size, 2);
			assert.is(pool.size, 2);
		});

		it('replaces a stale connection at the limit', () => {
			const fixture = makeFixture(1);
			const former = completeRequest(fixture, 5);
			fixture.clock.advance(2000);
			assert.is.not(fixture.pool.acquire(false), former);
			assert.is(fixture.pool.size, 1);
		});
	});

	describe('a connection that does not answer', () => {
		function doTest(
			name: string,
			input: {
				readonly responseCount: number;
				readonly latencyMs: number;
				readonly isIdempotent?: boolean;
			},
			isUnresponsive: boolean,
		): void {
			it(name, () => {
				const fixture = makeFixture();
				let isDestroyed = false;
				const unresponsive = fixture.pool.acquire(input.isIdempotent ?? true);
				unresponsive.destroy = () => {
					isDestroyed = true;
				};

				for (let count = 0; count < input.responseCount; count++) {
					fixture.clock.advance(10);
					completeRequest(fixture, input.latencyMs);
				}

				assert.is(isDestroyed, isUnresponsive);
			});
		}

		doTest(
			'is destroyed as unresponsive',
			{responseCount: 100, latencyMs: 5},
			true,
		);
		doTest(
			'is kept while few requests overtake it',
			{responseCount: 2, latencyMs: 600},
			false,
		);
		doTest('is kept for 500 ms', {responseCount: 30, latencyMs: 5}, false);
		doTest(
			'is kept if the target is as slow on other connections',
			{responseCount: 4, latencyMs: 200},
			false,
		);
		doTest(
			'is kept longer if its request is not idempotent',
			{responseCount: 100, latencyMs: 5, isIdempotent: false},
			false,
		);

		it('is destroyed together with connections idle since before its request', () => {
			const fixture = makeFixture();
			const {pool, clock} = fixture;
			const [first, second] = [pool.acquire(true), pool.acquire(true)];
			for (const connection of [first, second]) {
				pool.recordAnswer(connection);
				pool.release(connection, true);
			}

			clock.advance(10);
			pool.acquire(true);
			const working = pool.acquire(true);
			pool.recordAnswer(working);
			pool.release(working, true);
			for (let count = 0; count < 100; count++) {
				clock.advance(10);
				completeRequest(fixture, 5);
			}

			assert.is(pool.size, 1);
		});
	});
});
