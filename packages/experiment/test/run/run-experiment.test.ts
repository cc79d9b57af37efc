/** Aggregation of runs by policy. */

import {describe, it} from '@bilberryscale/testing';
import * as assert from 'uvu/assert';
import {comparePolicies, type RunSummary} from '../../src/index.js';

function makeSummary(policy: string, seed: number, p99Ms: number): RunSummary {
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

describe('comparePolicies', () => {
	const assertSpread = (
		values: readonly number[],
		expected: {readonly least: number; median: number; most: number},
	) => {
		const summaries = values.map((value, seed) =>
			makeSummary('random', seed, value),
		);
		const otherSummaries = values.map((_, seed) =>
			makeSummary('other', seed, 0),
		);
		const [result, otherResult] = comparePolicies([
			...summaries,
			...otherSummaries,
		]);
		assert.equal(result!.p99Ms, expected);
		assert.equal(result!.refused, {'over-capacity': 2 * values.length});
		assert.is(otherResult!.p999Ms.most, 0);
	};

	it('takes the middle value of an odd number of runs as the median', () => {
		assertSpread([30, 10, 200], {least: 10, median: 30, most: 200});
	});

	it('takes the mean of the two middle values of an even number of runs as the median', () => {
		assertSpread([30, 10], {least: 10, median: 20, most: 30});
	});
});
