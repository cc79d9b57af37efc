import {ManualClock} from '@bilberryscale/core';
import {describe, it} from '@bilberryscale/testing';
import * as assert from 'uvu/assert';
import {TargetLink} from '../../src/targets/target-link.js';
import {TargetState} from '../../src/targets/target-state.js';
import {makeRegisteredTarget} from '../fixtures.js';

function makeState(coldMs = 0): TargetState {
	const link = new TargetLink({
		clock: new ManualClock(),
		origin: 'http://127.0.0.1:9',
		localAddress: '127.0.0.1',
		getLimit: () => 2,
	});
	return new TargetState(makeRegisteredTarget('a', {coldMs}), link, 0);
}

function makeReport(receivedAtMs: number, running: number) {
	return {receivedAtMs, running, waiting: 0, slots: 4, slowness: 1};
}

describe('TargetState', () => {
	describe('load', () => {
		it('adds what was sent since the report', () => {
			const state = makeState();
			state.addReport(makeReport(0, 2));
			state.addSend(1);
			assert.is(state.load, 3);
			state.addReport(makeReport(2, 3));
			assert.is(state.load, 3);
		});
	});

	describe('isCold', () => {
		it('follows what the target says', () => {
			const state = makeState(3000);
			assert.is(state.isCold(2999), true);
			const health = {isHealthy: true, answeredBy: 'a'};
			state.addHealth({...makeReport(100, 0), ...health, coldMs: 0});
			assert.is(state.isCold(101), false);
			state.addHealth({...makeReport(200, 0), ...health, coldMs: 50});
			assert.is(state.isCold(249), true);
			assert.is(state.isCold(250), false);
		});
	});

	describe('getFailureShare', () => {
		it('rises with failures and fades', () => {
			const state = makeState();
			state.addOutcome(true, 0);
			state.addOutcome(true, 0);
			assert.is(state.getFailureShare(0), 0.5);
			assert.ok(state.getFailureShare(8000) < 0.2);
		});

		it('counts a failure that others tell of for less', () => {
			const state = makeState();
			state.addHeardFailure(0);
			assert.ok(state.getFailureShare(0) < 0.2);
		});
	});
});
