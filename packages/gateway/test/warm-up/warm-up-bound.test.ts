/** Guards against parts of a limit that add up to more than a cold target bears in a second. */

import {describe, it} from '@bilberryscale/testing';
import fc from 'fast-check';
import * as assert from 'uvu/assert';
import {
	divideWarmUpLimit,
	permitSpanMs,
	type WarmUpDivisionOptions,
} from '../../src/warm-up/warm-up-bound.js';

/** Gets the most permits that two sets of holders give in the time whose permits can be used in one second. */
function getMostPermits(options: WarmUpDivisionOptions): number {
	const {holderCount, partPerSecond} = divideWarmUpLimit(options);
	const refilled = Math.floor((partPerSecond * permitSpanMs) / 1000);
	return 2 * holderCount * (1 + refilled);
}

describe('divideWarmUpLimit', () => {
	function doTest(
		name: string,
		input: WarmUpDivisionOptions,
		expected: ReturnType<typeof divideWarmUpLimit>,
	): void {
		it(name, () => {
			assert.equal(divideWarmUpLimit(input), expected);
		});
	}

	const bound = {overRatio: 1.5, slack: 5};
	doTest(
		'gives the whole rate to a few of many hosts',
		{perSecond: 1.5, bound, hostCount: 312},
		{holderCount: 3, partPerSecond: 0.5},
	);
	doTest(
		'gives the whole rate to a host that is alone',
		{perSecond: 2, bound, hostCount: 1},
		{holderCount: 1, partPerSecond: 2},
	);
	doTest(
		'gives parts to fewer hosts if more would exceed the bound',
		{perSecond: 0.5, bound: {overRatio: 1, slack: 4.5}, hostCount: 40},
		{holderCount: 2, partPerSecond: 0.25},
	);
	doTest(
		'gives one request in each span if the bound allows no more',
		{perSecond: 1, bound: {overRatio: 1, slack: 0}, hostCount: 16},
		{holderCount: 1, partPerSecond: 0.99 / 1.15},
	);
	doTest(
		'assumes a rate for a service that publishes none',
		{perSecond: 0, bound, hostCount: 16},
		{holderCount: 2, partPerSecond: 0.5},
	);

	it('stays within any bound that allows a request on each side of a cut', () => {
		fc.assert(
			fc.property(
				fc.record({
					perSecond: fc.double({min: 0, max: 200, noNaN: true}),
					bound: fc.record({
						overRatio: fc.double({min: 1, max: 3, noNaN: true}),
						slack: fc.double({min: 3, max: 20, noNaN: true}),
					}),
					hostCount: fc.integer({min: 1, max: 400}),
				}),
				(input) => {
					const allowed =
						input.perSecond * input.bound.overRatio + input.bound.slack;
					assert.ok(getMostPermits(input) <= allowed + 1e-9);
				},
			),
			{seed: 51, numRuns: 500},
		);
	});
});
