/**
 * Targets of one service that are unevenly loaded. Guards against requests that
 * take the last slot of a target, where work takes longer (the knee), while
 * another target has free slots; against requests that arrive together and all
 * go to the same target; and against requests to full targets that hang.
 */

import {makeSeededRandom, ManualClock} from '@bilberryscale/core';
import {describe, it} from '@bilberryscale/testing';
import * as assert from 'uvu/assert';
import type {TargetState} from '../../src/targets/target-state.js';
import {
	east,
	makeRegisteredTarget,
	reading,
	testProtocol,
} from '../fixtures.js';
import {makeModelHost, makePickRequest, modelPlan} from './model-host.js';

type Input = {
	readonly slots: number;
	/** The number of requests that each target reports. */
	readonly loads: readonly number[];
	readonly requestCount: number;
	/** How many requests were seen to hang at full targets. */
	readonly hungCount?: number;
	readonly serviceTimeMs?: number;
};

/** Lets requests that arrive together pick targets, and returns how many go to each; the others wait. */
async function pickTogether(input: Input): Promise<number[]> {
	const {slots, loads, requestCount, hungCount = 0, serviceTimeMs} = input;
	const clock = new ManualClock();
	const addReports = (states: readonly TargetState[]) => {
		for (const state of states) {
			const load = loads[Number(state.registration.id)]!;
			state.addHealth({
				...testProtocol.readHealth(200, {}, state.registration, 0),
				running: Math.min(load, slots),
				waiting: Math.max(0, load - slots),
			});
		}
	};

	const {registry, picker, fullTargets} = makeModelHost({
		clock,
		name: 'host-1',
		dataCentre: east,
		hostCount: 16,
		random: makeSeededRandom(1),
		async sendProbes({states}) {
			addReports(states);
		},
	});
	const targets = loads.map((_, index) =>
		makeRegisteredTarget(String(index), {slots}),
	);
	registry.setSnapshot({
		plan: modelPlan,
		targets: new Map(targets.map((target) => [target.id, target])),
		drainedDataCentres: new Set(),
	});
	for (let index = 0; index < hungCount; index++) {
		fullTargets.add(reading, 1, {
			kind: 'failed',
			cause: 'stalled',
			mayHaveRun: true,
			detail: 'stalled',
		});
	}

	const counts = loads.map(() => 0);
	for (let index = 0; index < requestCount; index++) {
		const request = makePickRequest({
			receivedAtMs: 0,
			...(serviceTimeMs !== undefined && {serviceTimeMs}),
		});
		void picker.pick(request).then((picked) => {
			if (picked.isOk()) {
				counts[Number(picked.value.state.registration.id)]!++;
			}
		});
	}

	await new Promise(setImmediate);
	return counts;
}

describe('uneven targets', () => {
	function doTest(name: string, input: Input, expected: number[]): void {
		it(name, async () => {
			assert.equal(await pickTogether(input), expected);
		});
	}

	for (const slots of [3, 6]) {
		doTest(
			`spares the last of ${slots} slots while another target has free ones`,
			{slots, loads: [slots - 1, slots - 2], requestCount: 1},
			[0, 1],
		);
		doTest(
			`spreads requests that arrive together below the last of ${slots} slots`,
			{slots, loads: [0, 0, 0], requestCount: 3 * (slots - 1)},
			[slots - 1, slots - 1, slots - 1],
		);
	}

	doTest(
		'queues at full targets that are not known to hang, if that is short',
		{slots: 3, loads: [3, 3], requestCount: 1, serviceTimeMs: 30},
		[1, 0],
	);
	doTest(
		'waits where full targets hang',
		{slots: 3, loads: [3, 3], requestCount: 1, serviceTimeMs: 30, hungCount: 3},
		[0, 0],
	);
	doTest(
		'sends no more together than there are free slots where full targets hang',
		{slots: 3, loads: [1, 3], requestCount: 8, serviceTimeMs: 30, hungCount: 3},
		[2, 0],
	);
});
