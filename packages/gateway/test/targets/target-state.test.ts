import {ManualClock} from '@bilberryscale/core';
import {describe, it} from '@bilberryscale/testing';
import * as assert from 'uvu/assert';
import {ConnectionPool} from '../../src/targets/connection-pool.js';
import {TargetState} from '../../src/targets/target-state.js';
import {makeRegisteredTarget} from '../fixtures.js';

function makeState(remainingWarmUpMs = 0): TargetState {
	const pool = new ConnectionPool({
		clock: new ManualClock(),
		origin: 'http://127.0.0.1:9',
		localAddress: '127.0.0.1',
		getMaxSize: () => 2,
	});
	return new TargetState({
		registration: makeRegisteredTarget('a', {remainingWarmUpMs}),
		pool,
		nowMs: 0,
	});
}

function makeReport(receivedAtMs: number, running: number) {
	return {receivedAtMs, running, waiting: 0, slots: 4, slowdownFactor: 1};
}

describe('TargetState', () => {
	describe('load', () => {
		it('includes requests sent since the last report', () => {
			const state = makeState();
			state.addReport(makeReport(0, 2));
			state.addSend();
			assert.is(state.load, 3);
			state.addReport(makeReport(2, 3));
			assert.is(state.load, 3);
		});
	});

	describe('isCold', () => {
		it('follows the warm-up time that the target reports', () => {
			const state = makeState(3000);
			assert.is(state.isCold(2999), true);
			const health = {isHealthy: true, answeredBy: 'a'};
			state.addHealth({...makeReport(100, 0), ...health, remainingWarmUpMs: 0});
			assert.is(state.isCold(101), false);
			state.addHealth({
				...makeReport(200, 0),
				...health,
				remainingWarmUpMs: 50,
			});
			assert.is(state.isCold(249), true);
			assert.is(state.isCold(250), false);
		});
	});

	// Guards against a target with a limit, which gets no probes, that counts as warm after it has turned cold.
	describe('setRegistration', () => {
		function doTest(
			name: string,
			input: {readonly sequence: number; readonly remainingWarmUpMs: number},
			expectedColdForMs: number | undefined,
		): void {
			it(name, () => {
				const state = makeState();
				state.setRegistration(makeRegisteredTarget('a', input), 100);
				assert.is(state.getColdForMs(100), expectedColdForMs);
			});
		}

		doTest(
			'takes a target as cold whose newer entry says so',
			{sequence: 2, remainingWarmUpMs: 3000},
			3000,
		);
		doTest(
			'leaves a target warm whose newer entry says so',
			{sequence: 2, remainingWarmUpMs: 0},
			undefined,
		);
		doTest(
			'does not start the warm-up of an entry again that it has read before',
			{sequence: 1, remainingWarmUpMs: 3000},
			undefined,
		);
	});

	describe('getFailureRate', () => {
		it('rises with requests that other targets answered sooner, less than with failures', () => {
			const [overtaken, failing] = [makeState(), makeState()];
			for (let index = 0; index < 5; index++) {
				overtaken.addOvertaken(0);
				failing.addOutcome(true, 0);
			}

			assert.ok(overtaken.getFailureRate(0) > 0.4);
			assert.ok(overtaken.getFailureRate(0) < failing.getFailureRate(0));
		});

		it('rises with failures and decays', () => {
			const state = makeState();
			state.addOutcome(true, 0);
			state.addOutcome(true, 0);
			assert.is(state.getFailureRate(0), 0.5);
			assert.ok(state.getFailureRate(8000) < 0.2);
		});

		it('gives less weight to failures that other hosts report', () => {
			const state = makeState();
			state.addRemoteFailure(0);
			assert.ok(state.getFailureRate(0) < 0.2);
		});
	});
});
