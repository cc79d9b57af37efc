/** Tests the selection by expected latency. */

import {makeSeededRandom} from '@bilberryscale/core';
import {describe, it} from '@bilberryscale/testing';
import * as assert from 'uvu/assert';
import {
	getExpectedLatencyMs,
	makeLeastCost,
	ServiceAverages,
	TargetState,
} from '../../src/index.js';
import {makeOutcome, makeTarget} from '../fixtures.js';

const averages = new ServiceAverages();

type TargetHistory = {
	/** The reported number of requests of other hosts. */
	readonly inFlight?: number;
	readonly ageMs?: number;
	readonly outstanding?: number;
	readonly latencyMs?: number;
	readonly roundTripMs?: number;
};

function makeState(history: TargetHistory, number = 0): TargetState {
	const state = new TargetState(makeTarget(number));
	const {inFlight = 0, ageMs = 0, latencyMs = 20} = history;
	state.beginAttempt(-ageMs);
	state.endAttempt(
		makeOutcome('served', {inFlight, latencyMs}, -ageMs),
		-ageMs,
	);
	state.outstanding = history.outstanding ?? 0;
	state.roundTripMs = history.roundTripMs ?? 0;
	return state;
}

describe('getExpectedLatencyMs', () => {
	const doTest = (better: TargetHistory, worse: TargetHistory) => {
		const [first, second] = [better, worse].map((history) =>
			getExpectedLatencyMs(makeState(history), averages, 0),
		);
		assert.ok(first! < second!, `${first} < ${second}`);
	};

	it('prefers the target with the lower reported load', () => {
		doTest({inFlight: 1}, {inFlight: 4});
	});

	it('counts outstanding requests of this host in full', () => {
		doTest({inFlight: 3}, {inFlight: 0, outstanding: 4});
	});

	it('gives a high load report less weight as it ages', () => {
		doTest({inFlight: 8, ageMs: 200}, {inFlight: 8, ageMs: 1});
	});

	it('gives an old low load report less weight than a current one', () => {
		const stale = makeState({inFlight: 8, ageMs: 1000});
		stale.beginAttempt(-500);
		stale.endAttempt(makeOutcome('served', {inFlight: 0}, -500), -500);
		const fresh = makeState({inFlight: 0});
		assert.ok(
			getExpectedLatencyMs(fresh, averages, 0) <
				getExpectedLatencyMs(stale, averages, 0),
		);
	});

	it('prefers the nearer of two equal targets', () => {
		doTest({}, {roundTripMs: 10});
	});

	it('spills over to a farther target when the near one is loaded', () => {
		doTest({roundTripMs: 10}, {inFlight: 6});
	});

	it('counts the latency of a slow target that reports a low load', () => {
		doTest({inFlight: 4}, {inFlight: 0, latencyMs: 200});
	});

	it('avoids a target that has been stalled for long', () => {
		const stalled = makeState({});
		stalled.beginAttempt(0);
		const far = makeState({roundTripMs: 30});
		const isStalledPreferred = (nowMs: number) =>
			getExpectedLatencyMs(stalled, averages, nowMs) <
			getExpectedLatencyMs(far, averages, nowMs);
		assert.is(isStalledPreferred(10), true);
		assert.is(isStalledPreferred(200), false);
	});

	it('lets a high latency decay when there are no new samples', () => {
		doTest({latencyMs: 200, ageMs: 30_000}, {latencyMs: 200, ageMs: 100});
	});
});

describe('makeLeastCost', () => {
	it('rarely selects a target that is five times slower', () => {
		const states = Array.from({length: 9}, (_, index) =>
			makeState({latencyMs: index === 0 ? 100 : 20}, index),
		);
		const choose = makeLeastCost({sampleSize: 3});
		const random = makeSeededRandom(1);
		let slow = 0;
		for (let call = 0; call < 1000; call++) {
			const chosen = choose({candidates: states, averages, random, nowMs: 0});
			slow += chosen === states[0] ? 1 : 0;
		}

		assert.ok(slow < 10, `${slow} of 1000 calls went to the slow target`);
	});
});
