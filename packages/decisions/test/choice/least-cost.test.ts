/** The choice by expected time. */

import {makeSeededRandom} from '@bilberryscale/core';
import {describe, it} from '@bilberryscale/testing';
import * as assert from 'uvu/assert';
import {
	getExpectedMs,
	makeLeastCost,
	ServiceAverages,
	TargetState,
} from '../../src/index.js';
import {makeOutcome, makeTarget} from '../fixtures.js';

const averages = new ServiceAverages();

type Past = {
	/** Requests of other hosts in the report. */
	readonly inFlight?: number;
	readonly ageMs?: number;
	readonly outstanding?: number;
	readonly latencyMs?: number;
	readonly roundTripMs?: number;
};

function makeState(past: Past, number = 0): TargetState {
	const state = new TargetState(makeTarget(number));
	const {inFlight = 0, ageMs = 0, latencyMs = 20} = past;
	state.begin(-ageMs);
	state.end(makeOutcome('served', {inFlight, latencyMs}, -ageMs), -ageMs);
	state.outstanding = past.outstanding ?? 0;
	state.roundTripMs = past.roundTripMs ?? 0;
	return state;
}

describe('getExpectedMs', () => {
	const doTest = (better: Past, worse: Past) => {
		const [first, second] = [better, worse].map((past) =>
			getExpectedMs(makeState(past), averages, 0),
		);
		assert.ok(first! < second!, `${first} < ${second}`);
	};

	it('prefers the lower report', () => {
		doTest({inFlight: 1}, {inFlight: 4});
	});

	it('counts own requests whole', () => {
		doTest({inFlight: 3}, {inFlight: 0, outstanding: 4});
	});

	it('believes a high report less the older it is', () => {
		doTest({inFlight: 8, ageMs: 200}, {inFlight: 8, ageMs: 1});
	});

	it('believes a low report of a while ago less than a low one of now', () => {
		const stale = makeState({inFlight: 8, ageMs: 1000});
		stale.begin(-500);
		stale.end(makeOutcome('served', {inFlight: 0}, -500), -500);
		const fresh = makeState({inFlight: 0});
		assert.ok(
			getExpectedMs(fresh, averages, 0) < getExpectedMs(stale, averages, 0),
		);
	});

	it('prefers the nearer of two equal targets', () => {
		doTest({}, {roundTripMs: 10});
	});

	it('spills over to a farther target when the near one is loaded', () => {
		doTest({roundTripMs: 10}, {inFlight: 6});
	});

	it('takes a target for slow whose reports are low', () => {
		doTest({inFlight: 4}, {inFlight: 0, latencyMs: 200});
	});

	it('avoids a target that has answered nothing for long', () => {
		const silent = makeState({});
		silent.begin(0);
		const far = makeState({roundTripMs: 30});
		const doCompare = (nowMs: number) =>
			getExpectedMs(silent, averages, nowMs) <
			getExpectedMs(far, averages, nowMs);
		assert.is(doCompare(10), true);
		assert.is(doCompare(200), false);
	});

	it('forgets slowness that was not seen again for long', () => {
		doTest({latencyMs: 200, ageMs: 30_000}, {latencyMs: 200, ageMs: 100});
	});
});

describe('makeLeastCost', () => {
	it('leaves a target five times slower nearly alone', () => {
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
