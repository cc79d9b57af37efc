/** Guards against requests to cold targets without a permit, and against requests that wait for one in vain. */

import {makeSeededRandom, ManualClock} from '@bilberryscale/core';
import {describe, it} from '@bilberryscale/testing';
import * as assert from 'uvu/assert';
import {
	type WarmUpGate,
	unlimitedWarmUpGate,
} from '../../src/warm-up/warm-up-gate.js';
import {makeWarmUpPermit} from '../../src/warm-up/warm-up-permit.js';
import {
	east,
	makeRegisteredTarget,
	reading,
	testProtocol,
} from '../fixtures.js';
import {makeModelHost, makePickRequest, modelPlan} from './model-host.js';

const coldMs = 10_000;
const slots = 4;

type Input = {
	/** Targets and whether they are cold. */
	readonly targets: Readonly<Record<string, 'cold' | 'warm'>>;
	/** How many permits this host holds at the start. */
	readonly permitCount?: number;
	/** After which time another host gives a permit that is asked for, in milliseconds; undefined for never. */
	readonly grantsAfterMs?: number;
	/** The time until a permit may be had, in milliseconds; 0 if it is not known. */
	readonly waitMs?: number;
	/** The typical service time, in milliseconds; short enough by default that a cold target is taken at once. */
	readonly serviceTimeMs?: number;
	/** Targets that answer probes; all by default. */
	readonly answering?: readonly string[];
};

/** Makes the picker of one host, which shares all permits among its cold targets. */
function makePicker(input: Input) {
	const clock = new ManualClock();
	let permitCount = input.permitCount ?? 0;
	let requestCount = 0;
	const gate: WarmUpGate = {
		...unlimitedWarmUpGate,
		isOpen: () => permitCount > 0,
		take() {
			permitCount--;
			return makeWarmUpPermit(clock);
		},
		request(onGranted) {
			requestCount++;
			if (requestCount === 1 && input.grantsAfterMs !== undefined) {
				clock.schedule(input.grantsAfterMs, () => {
					permitCount++;
					onGranted();
				});
			}
		},
		getWaitMs: () => (permitCount > 0 ? 0 : (input.waitMs ?? 0)),
	};
	const {registry, picker} = makeModelHost({
		clock,
		name: 'host-1',
		dataCentre: east,
		hostCount: 16,
		random: makeSeededRandom(1),
		makeWarmUpGate: () => gate,
		async sendProbes({states}) {
			for (const state of states) {
				if (input.answering?.includes(state.registration.id) === false) {
					continue;
				}

				state.addHealth({
					...testProtocol.readHealth(
						200,
						{},
						state.registration,
						clock.monotonicMs(),
					),
					remainingWarmUpMs:
						input.targets[state.registration.id] === 'cold' ? coldMs : 0,
					running: 0,
					waiting: 0,
				});
			}
		},
	});
	const targets = Object.keys(input.targets).map((id) =>
		makeRegisteredTarget(id, {slots}),
	);
	registry.setSnapshot({
		plan: modelPlan,
		targets: new Map(targets.map((target) => [target.id, target])),
		drainedDataCentres: new Set(),
	});
	/** What became of each request, and when. */
	const ends: string[] = [];
	return {
		ends,
		/** Lets a target answer a request of this host. */
		answer(id: string) {
			const nowMs = clock.monotonicMs();
			const state = registry
				.getOpenTargets(reading)
				.find(({registration}) => registration.id === id);
			state?.addReport({
				running: 0,
				waiting: 0,
				slots,
				slowdownFactor: 1,
				receivedAtMs: nowMs,
			});
		},
		getRequestCount: () => requestCount,
		async pick() {
			const receivedAtMs = clock.monotonicMs();
			const {serviceTimeMs = 50} = input;
			const picked = await picker.pick(
				makePickRequest({receivedAtMs, serviceTimeMs}),
			);
			const end = picked.isOk()
				? `${picked.value.state.registration.id} ${picked.value.warmUpPermit === undefined ? 'without' : 'with'} a permit`
				: `${picked.error.kind}, back in ${picked.error.retryAfterMs} ms`;
			ends.push(`${end} after ${clock.monotonicMs()} ms`);
		},
		async advance(durationMs: number) {
			for (let step = 0; step < durationMs; step++) {
				await new Promise(setImmediate);
				clock.advance(1);
			}

			await new Promise(setImmediate);
		},
	};
}

describe('TargetPicker', () => {
	describe('pick, cold targets', () => {
		function doTest(
			name: string,
			input: Input & {readonly requestCount?: number},
			expected: readonly string[],
		): void {
			it(name, async () => {
				const {pick, advance, ends} = makePicker(input);
				for (let index = 0; index < (input.requestCount ?? 1); index++) {
					void pick();
				}

				await advance(200);
				assert.equal(ends, expected);
			});
		}

		doTest(
			'sends one request with one permit',
			{
				targets: {a: 'cold'},
				permitCount: 1,
				waitMs: 5000,
				requestCount: 2,
			},
			[
				'a with a permit after 0 ms',
				'over-capacity, back in 5000 ms after 0 ms',
			],
		);
		doTest(
			'sends a waiting request soon after another host has given a permit',
			{targets: {a: 'cold'}, grantsAfterMs: 3},
			['a with a permit after 3 ms'],
		);
		doTest(
			'prefers a warm target',
			{targets: {a: 'cold', b: 'warm'}, permitCount: 1},
			['b without a permit after 0 ms'],
		);
		doTest(
			'refuses a request at once if no permit can be had in time',
			{targets: {a: 'cold', b: 'cold'}, waitMs: 700},
			['over-capacity, back in 700 ms after 0 ms'],
		);

		// Guards against permits that are too old when the request that waits for a better target uses them.
		it('asks for a permit only when the request would be sent', async () => {
			const {pick, advance, ends, getRequestCount} = makePicker({
				targets: {a: 'cold'},
				serviceTimeMs: 200,
				grantsAfterMs: 3,
			});
			void pick();
			await advance(90);
			assert.is(getRequestCount(), 0);
			await advance(110);
			assert.is(ends.length, 1);
			assert.match(ends[0]!, 'a with a permit');
		});

		// Guards against targets that count as warm by a probe of long ago because their responses tell their load.
		it('does not take a target as warm that has told only its load since', async () => {
			const {pick, advance, answer, ends} = makePicker({
				targets: {a: 'cold'},
				answering: [],
			});
			answer('a');
			void pick();
			await advance(10);
			assert.equal(ends, []);
		});

		it('asks for no permit while a warm target is better', async () => {
			const {pick, advance, getRequestCount} = makePicker({
				targets: {a: 'cold', b: 'warm'},
			});
			void pick();
			await advance(10);
			assert.is(getRequestCount(), 0);
		});
	});
});
