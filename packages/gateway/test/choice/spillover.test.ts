import {ManualClock} from '@bilberryscale/core';
import {describe, it} from '@bilberryscale/testing';
import * as assert from 'uvu/assert';
import {
	Spillover,
	type FarLookContext,
	type SpilloverStage,
} from '../../src/choice/spillover.js';
import {reading} from '../fixtures.js';

const bothSides = {hasNear: true, hasFar: true};
const patientRequest: FarLookContext = {
	hasNear: true,
	slackMs: 1000,
	farLookCount: 0,
};

/** Adds a near look and a far look at intervals, each with the given results. */
function addLooks(
	spillover: Spillover,
	clock: ManualClock,
	{
		count,
		intervalMs,
		isNearAcceptable,
		isFarAcceptable = true,
		hasAnswer = true,
	}: {
		readonly count: number;
		readonly intervalMs: number;
		readonly isNearAcceptable: boolean;
		readonly isFarAcceptable?: boolean;
		readonly hasAnswer?: boolean;
	},
): void {
	for (let index = 0; index < count; index++) {
		clock.advance(intervalMs);
		spillover.addNearLook(reading, {isAcceptable: isNearAcceptable, hasAnswer});
		spillover.addFarLook(reading, {
			isAcceptable: isFarAcceptable,
			roundTripMs: 8,
		});
	}
}

describe('Spillover', () => {
	describe('takeOrder', () => {
		it('leaves a deployment with one data centre alone', () => {
			const spillover = new Spillover(new ManualClock());
			const sides = {hasNear: true, hasFar: false};
			assert.is(spillover.takeOrder(reading, sides), 'near-only');
		});

		it('asks no near target first if all are drained, from the first request on', () => {
			const spillover = new Spillover(new ManualClock());
			const sides = {hasNear: false, hasFar: true};
			assert.is(spillover.takeOrder(reading, sides), 'far-first');
			assert.is(spillover.takeOrder(reading, bothSides), 'near-first');
		});

		it('asks far targets first after a look without any near response', () => {
			const clock = new ManualClock();
			const spillover = new Spillover(clock);
			addLooks(spillover, clock, {
				count: 1,
				intervalMs: 10,
				isNearAcceptable: false,
				hasAnswer: false,
			});
			assert.is(spillover.takeOrder(reading, bothSides), 'far-first');
			addLooks(spillover, clock, {
				count: 1,
				intervalMs: 10,
				isNearAcceptable: true,
			});
			clock.advance(500);
			assert.is(spillover.takeOrder(reading, bothSides), 'near-first');
		});

		function doTest(name: string, intervalMs: number): void {
			it(name, () => {
				const clock = new ManualClock();
				const spillover = new Spillover(clock);
				const countFarFirst = () =>
					Array.from({length: 20}, () =>
						spillover.takeOrder(reading, bothSides),
					).filter((order) => order === 'far-first').length;
				const looks = {count: Math.ceil(1500 / intervalMs), intervalMs};
				addLooks(spillover, clock, {...looks, isNearAcceptable: false});
				assert.ok(countFarFirst() >= 15);
				addLooks(spillover, clock, {...looks, isNearAcceptable: true});
				assert.is(countFarFirst(), 0);
			});
		}

		doTest('returns to the near side within 2 s, few requests', 500);
		doTest('returns to the near side within 2 s, many requests', 5);

		it('returns to the near side within 2 s without any look', () => {
			const clock = new ManualClock();
			const spillover = new Spillover(clock);
			addLooks(spillover, clock, {
				count: 20,
				intervalMs: 100,
				isNearAcceptable: false,
			});
			clock.advance(2000);
			assert.is(spillover.getInputs(reading).farFirstShare, 0);
		});

		it('does not ask far targets first while they are full too', () => {
			const clock = new ManualClock();
			const spillover = new Spillover(clock);
			addLooks(spillover, clock, {
				count: 20,
				intervalMs: 100,
				isNearAcceptable: false,
				isFarAcceptable: false,
			});
			assert.is(spillover.takeOrder(reading, bothSides), 'near-first');
		});
	});

	describe('shouldLookFar', () => {
		function doTest(
			name: string,
			input: {
				readonly isFarAcceptable: boolean;
				readonly context: Partial<FarLookContext>;
			},
			expected: boolean,
		): void {
			it(name, () => {
				const clock = new ManualClock();
				const spillover = new Spillover(clock);
				addLooks(spillover, clock, {
					count: 20,
					intervalMs: 100,
					isNearAcceptable: false,
					isFarAcceptable: input.isFarAcceptable,
				});
				assert.is(
					spillover.shouldLookFar(reading, {
						...patientRequest,
						...input.context,
					}),
					expected,
				);
			});
		}

		doTest(
			'sends a request far that would wait longer than far targets cost',
			{isFarAcceptable: true, context: {}},
			true,
		);
		doTest(
			'keeps a request near that can wait while far targets are full',
			{isFarAcceptable: false, context: {}},
			false,
		);
		doTest(
			'sends a request far that would be late near, even if far targets were full',
			{isFarAcceptable: false, context: {slackMs: 20}},
			true,
		);
		doTest(
			'does not repeat each look while far targets are full',
			{isFarAcceptable: false, context: {slackMs: 20, farLookCount: 1}},
			false,
		);
		doTest(
			'always looks far without a near side',
			{isFarAcceptable: false, context: {hasNear: false, farLookCount: 5}},
			true,
		);
	});

	describe('change notices', () => {
		it('tells a change of the stage once, with its inputs', () => {
			const clock = new ManualClock();
			const stages: Array<readonly [SpilloverStage, number]> = [];
			const spillover = new Spillover(clock, (_service, stage, inputs) => {
				stages.push([stage, inputs.farFirstShare]);
			});
			const drained = {hasNear: false, hasFar: true};
			spillover.takeOrder(reading, drained);
			spillover.takeOrder(reading, drained);
			spillover.takeOrder(reading, bothSides);
			assert.equal(stages, [
				['far', 1],
				['near', 0],
			]);
		});
	});
});
