import {ManualClock} from '@bilberryscale/core';
import {describe, it} from '@bilberryscale/testing';
import * as assert from 'uvu/assert';
import {ShortageDetector} from '../../src/capacity/shortage-detector.js';
import {ConnectionPool} from '../../src/targets/connection-pool.js';
import {TargetState} from '../../src/targets/target-state.js';
import {makeRegisteredTarget, reading} from '../fixtures.js';

function makePool(): ConnectionPool {
	return new ConnectionPool({
		clock: new ManualClock(),
		origin: 'http://127.0.0.1:1',
		localAddress: '127.0.0.1',
		getMaxSize: () => 1,
	});
}

function makeDetector(running: readonly number[] = []) {
	const clock = new ManualClock();
	const states = running.map((count, index) => {
		const state = new TargetState({
			registration: makeRegisteredTarget(`t-${index}`),
			pool: makePool(),
			nowMs: 0,
		});
		state.addReport({
			receivedAtMs: 0,
			running: count,
			waiting: 0,
			slots: 4,
			slowdownFactor: 1,
		});
		return state;
	});
	const detector = new ShortageDetector({
		clock,
		getOpenTargets: () => states,
	});
	return {clock, detector};
}

describe('ShortageDetector', () => {
	it('sees no shortage without any sign of one', () => {
		assert.not(makeDetector().detector.isShort(reading));
	});

	it('takes a refusal for a shortage of a second', () => {
		const {clock, detector} = makeDetector();
		detector.addRefusal(reading);
		clock.advance(999);
		assert.ok(detector.isShort(reading));
		clock.advance(1);
		assert.not(detector.isShort(reading));
	});

	it('takes a wait for a shortage, but not a round of probes', () => {
		const {detector} = makeDetector();
		detector.addWait(reading, 20);
		assert.not(detector.isShort(reading));
		detector.addWait(reading, 45);
		assert.ok(detector.isShort(reading));
	});

	it('takes busy slots for a shortage, as long as the reports are new', () => {
		assert.not(makeDetector([2, 3]).detector.isShort(reading));
		const {clock, detector} = makeDetector([2, 4]);
		assert.ok(detector.isShort(reading));
		clock.advance(5001);
		assert.not(detector.isShort(reading));
	});
});
