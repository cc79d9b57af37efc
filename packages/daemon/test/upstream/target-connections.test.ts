import {ManualClock} from '@bilberryscale/core';
import {describe, it} from '@bilberryscale/testing';
import * as assert from 'uvu/assert';
import type {Connection} from '../../src/upstream/connection.js';
import {TargetConnections} from '../../src/upstream/target-connections.js';

type Fixture = {
	readonly clock: ManualClock;
	readonly connections: TargetConnections;
};

function makeFixture(limit = 10): Fixture {
	const clock = new ManualClock();
	const connections = new TargetConnections({
		clock,
		origin: 'http://127.0.0.1:9',
		localAddress: '127.0.0.1',
		getLimit: () => limit,
	});
	return {clock, connections};
}

function answer({clock, connections}: Fixture, latencyMs: number): Connection {
	const connection = connections.take(true);
	clock.advance(latencyMs);
	connections.noteAnswer(connection);
	connections.giveBack(connection, true);
	return connection;
}

describe('TargetConnections', () => {
	describe('take', () => {
		function doTest(
			name: string,
			input: {readonly idleMs: number; readonly isIdempotent: boolean},
			isSame: boolean,
		): void {
			it(name, () => {
				const fixture = makeFixture();
				const former = answer(fixture, 5);
				fixture.clock.advance(input.idleMs);
				const taken = fixture.connections.take(input.isIdempotent);
				assert.is(taken === former, isSame);
			});
		}

		doTest('keeps a fresh one', {idleMs: 900, isIdempotent: false}, true);
		doTest('leaves a stale one', {idleMs: 1100, isIdempotent: false}, false);
		doTest(
			'takes a stale one for an idempotent request',
			{idleMs: 1100, isIdempotent: true},
			true,
		);

		it('stays within the limit', () => {
			const {connections} = makeFixture(2);
			const taken = Array.from({length: 5}, () => connections.take(true));
			assert.is(new Set(taken).size, 2);
			assert.is(connections.size, 2);
		});

		it('puts a new one in the place of a stale one at the limit', () => {
			const fixture = makeFixture(1);
			const former = answer(fixture, 5);
			fixture.clock.advance(2000);
			assert.is.not(fixture.connections.take(false), former);
			assert.is(fixture.connections.size, 1);
		});
	});

	describe('a connection that does not answer', () => {
		function doTest(
			name: string,
			input: {
				readonly answers: number;
				readonly latencyMs: number;
				readonly isIdempotent?: boolean;
			},
			isCut: boolean,
		): void {
			it(name, () => {
				const fixture = makeFixture();
				let hasBeenCut = false;
				const silent = fixture.connections.take(input.isIdempotent ?? true);
				silent.destroy = () => {
					hasBeenCut = true;
				};

				for (let count = 0; count < input.answers; count++) {
					fixture.clock.advance(10);
					answer(fixture, input.latencyMs);
				}

				assert.is(hasBeenCut, isCut);
			});
		}

		doTest('is cut as silent', {answers: 100, latencyMs: 5}, true);
		doTest(
			'is left while few overtake it',
			{answers: 2, latencyMs: 600},
			false,
		);
		doTest('is left for 500 ms', {answers: 30, latencyMs: 5}, false);
		doTest(
			'is left on a target as slow as it',
			{answers: 4, latencyMs: 200},
			false,
		);
		doTest(
			'is left longer if it may not be sent twice',
			{answers: 100, latencyMs: 5, isIdempotent: false},
			false,
		);

		it('takes the idle ones that are as old with it', () => {
			const fixture = makeFixture();
			const {connections, clock} = fixture;
			const [first, second] = [connections.take(true), connections.take(true)];
			for (const connection of [first, second]) {
				connections.noteAnswer(connection);
				connections.giveBack(connection, true);
			}

			clock.advance(10);
			connections.take(true);
			const working = connections.take(true);
			connections.noteAnswer(working);
			connections.giveBack(working, true);
			for (let count = 0; count < 100; count++) {
				clock.advance(10);
				answer(fixture, 5);
			}

			assert.is(connections.size, 1);
		});
	});
});
