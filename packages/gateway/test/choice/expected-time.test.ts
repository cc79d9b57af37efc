import {describe, it} from '@bilberryscale/testing';
import * as assert from 'uvu/assert';
import {
	getCostMs,
	getExpectedMs,
	type TargetView,
} from '../../src/choice/expected-time.js';

const idle: TargetView = {
	load: 0,
	slots: 4,
	slowness: 1,
	isHealthy: true,
	isCold: false,
	failureShare: 0,
	isNear: true,
};
const work = {workMs: 200, lastSlotFactor: 1.7, isIdempotent: true};

describe('expected time', () => {
	describe('getExpectedMs', () => {
		function doTest(
			name: string,
			input: Partial<TargetView>,
			expected: number,
		): void {
			it(name, () => {
				const expectedMs = getExpectedMs({...idle, ...input}, work);
				assert.is(Math.round(expectedMs), expected);
			});
		}

		doTest('is the usual time at an idle target', {}, 200);
		doTest('grows with the slowness', {slowness: 5}, 1000);
		doTest('is the usual time below the last slot', {load: 2}, 200);
		doTest('is longer on the last slot', {load: 3}, 340);
		doTest('holds the wait for a slot', {load: 5}, 510);
		doTest('is doubled where the target is cold', {isCold: true}, 400);
		doTest('counts a cold slowness once', {isCold: true, slowness: 2}, 400);
	});

	describe('getCostMs', () => {
		function doTest(
			name: string,
			better: Partial<TargetView>,
			worse: Partial<TargetView>,
		): void {
			it(name, () => {
				const betterMs = getCostMs({...idle, ...better}, work);
				const worseMs = getCostMs({...idle, ...worse}, work);
				assert.ok(betterMs < worseMs, `${betterMs} ${worseMs}`);
			});
		}

		doTest('prefers the near target', {}, {isNear: false});
		doTest('prefers fewer requests', {load: 1}, {load: 2});
		doTest(
			'prefers a far target to a slow one',
			{isNear: false},
			{slowness: 2},
		);
		doTest('prefers one that does not fail', {load: 2}, {failureShare: 0.4});
		doTest('prefers one that calls itself well', {load: 3}, {isHealthy: false});
	});
});
