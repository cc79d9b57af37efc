import {makeId, ManualClock} from '@bilberryscale/core';
import {describe, it} from '@bilberryscale/testing';
import * as assert from 'uvu/assert';
import type {TargetIncarnation} from '../../src/plan/registered-target.js';
import {GatewayMetrics} from '../../src/records/gateway-metrics.js';
import {ConnectionPool} from '../../src/targets/connection-pool.js';
import type {LimitNotice} from '../../src/targets/limit-notice.js';
import {
	TargetAvailability,
	type AvailabilityNotice,
} from '../../src/targets/target-availability.js';
import type {LimitSource} from '../../src/targets/target-limit.js';
import {TargetLimits} from '../../src/targets/target-limits.js';
import {TargetState} from '../../src/targets/target-state.js';
import {makeRegisteredTarget, makeTestLog} from '../fixtures.js';

type Response = readonly [
	notice: Partial<AvailabilityNotice>,
	source: LimitSource | undefined,
];

function makeLimits(clock: ManualClock, sent: LimitNotice[]): TargetLimits {
	return new TargetLimits({
		clock,
		log: makeTestLog(clock).log,
		metrics: new GatewayMetrics(),
		makeLimitPolicy: () => ({
			getShare: (perSecond) => perSecond,
			getCheckDelayMs: () => 1000,
		}),
		onLimitChange(notice) {
			sent.push(notice);
		},
	});
}

function makeState(limits: TargetLimits, clock: ManualClock): TargetState {
	const registration = makeRegisteredTarget('a');
	const pool = new ConnectionPool({
		clock,
		origin: 'http://127.0.0.1:9',
		localAddress: '127.0.0.1',
		getMaxSize: () => 2,
	});
	const availability = new TargetAvailability(false, limits.get(registration));
	return new TargetState({registration, pool, nowMs: 0, availability});
}

const incarnation = makeId<TargetIncarnation>('a@1');

describe('TargetLimits', () => {
	describe('add', () => {
		function doTest(
			name: string,
			input: readonly Response[],
			expected: {
				readonly perSecond: number | undefined;
				readonly sent: readonly LimitNotice[];
			},
		): void {
			it(name, () => {
				const clock = new ManualClock();
				const sent: LimitNotice[] = [];
				const limits = makeLimits(clock, sent);
				const state = makeState(limits, clock);
				for (const [notice, source] of input) {
					limits.add(
						state,
						{isLeaving: false, pauseMs: undefined, ...notice},
						source,
					);
				}

				assert.is(state.availability.limit.perSecond, expected.perSecond);
				assert.equal(sent, expected.sent);
			});
		}

		const named: LimitNotice = {incarnation, perSecond: 2, source: 'probe'};
		doTest(
			'reports a limit and its end once',
			[
				[{limitPerSecond: 2}, 'probe'],
				[{limitPerSecond: 2}, 'probe'],
				[{}, 'probe'],
			],
			{
				perSecond: undefined,
				sent: [named, {...named, perSecond: undefined}],
			},
		);
		doTest(
			'keeps the limit after an unusable one',
			[
				[{limitPerSecond: 2}, 'probe'],
				[{unusableLimit: 'few'}, 'probe'],
			],
			{perSecond: 2, sent: [named]},
		);
		doTest(
			'is not lifted by a response that names no request',
			[
				[{limitPerSecond: 2}, 'attempt'],
				[{}, undefined],
			],
			{perSecond: 2, sent: [{...named, source: 'attempt'}]},
		);
		doTest(
			'takes the limit of a refusal that names no request',
			[[{limitPerSecond: 2}, undefined]],
			{perSecond: 2, sent: [{...named, source: 'attempt'}]},
		);
	});

	it('remembers the limit of an incarnation whose entry has lapsed', () => {
		const clock = new ManualClock();
		const limits = makeLimits(clock, []);
		limits.addRemote(makeState(limits, clock), {
			incarnation,
			perSecond: 3,
			source: 'probe',
		});
		const again = makeState(limits, clock);
		assert.is(again.availability.limit.perSecond, 3);
		limits.addRemote(again, {
			incarnation,
			perSecond: undefined,
			source: 'attempt',
		});
		assert.is(makeState(limits, clock).availability.limit.isInForce, false);
	});
});
