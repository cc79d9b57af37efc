import {makeId, ManualClock, makeSeededRandom} from '@bilberryscale/core';
import {describe, it} from '@bilberryscale/testing';
import * as assert from 'uvu/assert';
import {
	getHedgeObstacle,
	HedgePolicy,
	isSuitableForHedge,
	type HedgeContext,
	type HedgeObstacle,
} from '../../src/hedging/hedge-policy.js';
import {loadHistogram} from '../../src/hedging/load-histogram.js';
import {RouteQuantiles} from '../../src/hedging/route-quantiles.js';
import type {RouteName} from '../../src/plan/routing-plan.js';
import {ConnectionPool} from '../../src/targets/connection-pool.js';
import {TargetState} from '../../src/targets/target-state.js';
import {makeRegisteredTarget} from '../fixtures.js';

const makeHistogram = await loadHistogram();
const route = makeId<RouteName>('route-1');
const candidate = {
	route,
	slowdown: 1,
	serviceTimeMs: 100,
	remainingMs: 5000,
};

function makePool(): ConnectionPool {
	return new ConnectionPool({
		clock: new ManualClock(),
		origin: 'http://127.0.0.1:1',
		localAddress: '127.0.0.1',
		getMaxSize: () => 1,
	});
}

function makePolicy(limit = 0.05) {
	const clock = new ManualClock();
	const quantiles = new RouteQuantiles({clock, makeHistogram});
	return {clock, policy: new HedgePolicy({limit, quantiles})};
}

function isNear(actual: number | undefined, expected: number): boolean {
	return actual !== undefined && Math.abs(actual - expected) <= expected * 0.02;
}

describe('HedgePolicy', () => {
	/** Adds times from 1 to 100 ms, so that each percentile is known. */
	function addTimes(policy: HedgePolicy, factor = 1): void {
		for (let timeMs = 1; timeMs <= 100; timeMs++) {
			policy.addAnswer(candidate, timeMs * factor);
		}
	}

	describe('getDelayMs', () => {
		it('is undefined while few service times are known', () => {
			const {policy} = makePolicy();
			for (let index = 0; index < 29; index++) {
				policy.addAnswer(candidate, 100);
			}

			assert.is(policy.getDelayMs(candidate), undefined);
			policy.addAnswer(candidate, 100);
			assert.ok(isNear(policy.getDelayMs(candidate), 100));
		});

		it('does not rely on times from before a long time without requests', () => {
			const {clock, policy} = makePolicy();
			addTimes(policy);
			clock.advance(600_000);
			assert.is(policy.getDelayMs(candidate), undefined);
		});

		for (const [limit, expectedMs] of [
			[0.2, 90],
			[0.05, 95],
			[0.005, 99],
		] as const) {
			it(`is the time that a share of ${limit} exceeds, from 0.01 to 0.1`, () => {
				const {policy} = makePolicy(limit);
				addTimes(policy);
				assert.ok(isNear(policy.getDelayMs(candidate), expectedMs));
			});
		}

		it('follows the slowdown factor of the target', () => {
			const {policy} = makePolicy();
			addTimes(policy);
			const delayMs = policy.getDelayMs({...candidate, slowdown: 1.6});
			assert.ok(isNear(delayMs, 152), String(delayMs));
		});

		it('takes times at a slow target for less', () => {
			const {policy} = makePolicy();
			for (let timeMs = 1; timeMs <= 100; timeMs++) {
				policy.addAnswer({route, slowdown: 2}, timeMs * 2);
			}

			assert.ok(isNear(policy.getDelayMs(candidate), 95));
		});

		it('is undefined if a hedge could not complete before the deadline', () => {
			const {policy} = makePolicy();
			addTimes(policy);
			assert.is(policy.getDelayMs({...candidate, remainingMs: 190}), undefined);
		});

		it('follows a route that has become faster within a minute', () => {
			const {policy, clock} = makePolicy();
			addTimes(policy, 10);
			for (let index = 0; index < 2; index++) {
				clock.advance(30_000);
				addTimes(policy);
			}

			assert.ok(isNear(policy.getDelayMs(candidate), 95));
		});

		it('does not fall although the attempts beyond it are cancelled', () => {
			const {policy, clock} = makePolicy();
			const random = makeSeededRandom(5);
			for (let index = 0; index < 20_000; index++) {
				clock.advance(20);
				const timeMs = random() < 0.03 ? 700 : 80 + random() * 40;
				const delayMs = policy.getDelayMs(candidate);
				if (delayMs !== undefined && timeMs > delayMs) {
					// The second copy answers 100 ms later.
					policy.addCancelled(candidate, Math.min(timeMs, delayMs + 100));
					policy.addAnswer(candidate, 100);
				} else {
					policy.addAnswer(candidate, timeMs);
				}
			}

			const delayMs = policy.getDelayMs(candidate)!;
			assert.ok(delayMs > 112 && delayMs < 130, String(delayMs));
		});

		it('ignores second copies that were cancelled early', () => {
			const {policy} = makePolicy();
			addTimes(policy);
			for (let index = 0; index < 100; index++) {
				policy.addCancelled(candidate, 5);
			}

			assert.ok(isNear(policy.getDelayMs(candidate), 95));
		});
	});
});

describe('getHedgeObstacle', () => {
	const context: HedgeContext = {
		isShuttingDown: false,
		isShortOfCapacity: false,
		isCrashSuspect: false,
		isKeyRemoved: false,
		executions: 1,
		maxAttempts: 2,
		isWithinLimit: true,
		isWithinRetryBudget: true,
	};

	function doTest(
		input: Partial<HedgeContext>,
		expected: HedgeObstacle | undefined,
	): void {
		it(`is ${expected} for ${JSON.stringify(input)}`, () => {
			assert.is(getHedgeObstacle({...context, ...input}), expected);
		});
	}

	doTest({}, undefined);
	doTest({isShuttingDown: true}, 'shutting-down');
	doTest({isShortOfCapacity: true}, 'short-of-capacity');
	doTest({isCrashSuspect: true}, 'crash-suspect');
	doTest({isKeyRemoved: true}, 'key-removed');
	doTest({executions: 2}, 'attempts-used');
	doTest({executions: 2, maxAttempts: 3}, undefined);
	doTest({isWithinLimit: false}, 'limit');
	doTest({isWithinRetryBudget: false}, 'retry-budget');
});

describe('isSuitableForHedge', () => {
	const nowMs = 1000;

	function makeState(running = 1): TargetState {
		const state = new TargetState({
			registration: makeRegisteredTarget('t-1'),
			pool: makePool(),
			nowMs: 0,
		});
		state.addHealth({
			receivedAtMs: nowMs,
			running,
			waiting: 0,
			slots: 4,
			slowdownFactor: 1,
			isHealthy: true,
			remainingWarmUpMs: 0,
			answeredBy: 't-1',
		});
		return state;
	}

	function doTest(
		name: string,
		change: (state: TargetState) => void,
		expected = false,
	): void {
		it(`is ${expected} for a target that ${name}`, () => {
			const state = makeState();
			change(state);
			assert.is(isSuitableForHedge(state, nowMs), expected);
		});
	}

	doTest('has just reported a free slot', () => undefined, true);
	doTest('has no free slot since requests were sent to it', (state) => {
		for (let index = 0; index < 3; index++) {
			state.addSend();
		}
	});
	doTest('has reported nothing lately', (state) => {
		state.addReport({...state.report!, receivedAtMs: nowMs - 16});
	});
	doTest('is cold', (state) => {
		state.coldUntilMs = nowMs + 1;
	});
	doTest('has no connection left for one more request', (state) => {
		state.pool.acquireNew();
	});
	doTest('leaves', (state) => {
		state.availability.setLeaving();
	});
	doTest('pauses', (state) => {
		state.availability.add({isLeaving: false, pauseMs: 100}, nowMs);
	});
	doTest('has named a limit', (state) => {
		state.availability.limit.add(1000, 'probe', nowMs);
	});
	doTest('has not responded to a probe', (state) => {
		state.addUnanswered();
	});
	doTest('is avoided', (state) => {
		state.avoidUntilMs = nowMs + 1;
	});
	doTest('reports itself unhealthy', (state) => {
		state.addHealth({...state.health!, isHealthy: false});
	});
});
