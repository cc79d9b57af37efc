/** The comparison of policies. */

import {describe, it} from '@bilberryscale/testing';
import * as assert from 'uvu/assert';
import {compare, type RunSummary} from '../../src/index.js';

function makeRun(policy: string, seed: number, p99Ms: number): RunSummary {
	return {
		policy,
		seed,
		services: [
			{
				service: 'archive',
				offered: 100,
				served: 98,
				refused: {'over-capacity': 2},
				p50Ms: 1,
				p99Ms,
				p999Ms: 2 * p99Ms,
				goodput: 0.5,
				imbalance: 1,
			},
		],
		timeline: [],
		measuringCalls: 0,
	};
}

describe('compare', () => {
	const doTest = (
		values: readonly number[],
		expected: {readonly least: number; median: number; most: number},
	) => {
		const runs = values.map((value, seed) => makeRun('random', seed, value));
		const others = values.map((_, seed) => makeRun('other', seed, 0));
		const [result, other] = compare([...runs, ...others]);
		assert.equal(result!.p99Ms, expected);
		assert.equal(result!.refused, {'over-capacity': 2 * values.length});
		assert.is(other!.p999Ms.most, 0);
	};

	it('takes the middle of an odd number of runs', () => {
		doTest([30, 10, 200], {least: 10, median: 30, most: 200});
	});

	it('takes the mean of the two in the middle of an even number', () => {
		doTest([30, 10], {least: 10, median: 20, most: 30});
	});
});
