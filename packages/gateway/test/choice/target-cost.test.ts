import {describe, it} from '@bilberryscale/testing';
import * as assert from 'uvu/assert';
import {
	getCostMs,
	getExpectedLatencyMs,
	type TargetCondition,
} from '../../src/choice/target-cost.js';

const idle: TargetCondition = {
	load: 0,
	slots: 4,
	slowdownFactor: 1,
	isHealthy: true,
	isCold: false,
	failureRate: 0,
	isNear: true,
};
const request = {serviceTimeMs: 200, lastSlotFactor: 1.7, isIdempotent: true};

describe('target cost', () => {
	describe('getExpectedLatencyMs', () => {
		function doTest(
			name: string,
			input: Partial<TargetCondition>,
			expected: number,
		): void {
			it(name, () => {
				const expectedMs = getExpectedLatencyMs({...idle, ...input}, request);
				assert.is(Math.round(expectedMs), expected);
			});
		}

		doTest('is the service time at an idle target', {}, 200);
		doTest('grows with the slowdown', {slowdownFactor: 5}, 1000);
		doTest('is the service time below the last slot', {load: 2}, 200);
		doTest('is longer on the last slot', {load: 3}, 340);
		doTest('includes the wait for a slot', {load: 5}, 510);
		doTest('is doubled at a cold target', {isCold: true}, 400);
		doTest(
			'does not multiply the slowdown of a cold target',
			{isCold: true, slowdownFactor: 2},
			400,
		);
	});

	describe('getCostMs', () => {
		function doTest(
			name: string,
			cheaper: Partial<TargetCondition>,
			costlier: Partial<TargetCondition>,
		): void {
			it(name, () => {
				const cheaperMs = getCostMs({...idle, ...cheaper}, request);
				const costlierMs = getCostMs({...idle, ...costlier}, request);
				assert.ok(cheaperMs < costlierMs, `${cheaperMs} ${costlierMs}`);
			});
		}

		doTest('prefers a target in the same data centre', {}, {isNear: false});
		doTest('prefers fewer requests', {load: 1}, {load: 2});
		doTest(
			'prefers a fast target in another data centre to a slow near one',
			{isNear: false},
			{slowdownFactor: 2},
		);
		doTest('prefers a target without failures', {load: 2}, {failureRate: 0.4});
		doTest(
			'prefers a target that reports itself healthy',
			{load: 3},
			{isHealthy: false},
		);
	});
});
