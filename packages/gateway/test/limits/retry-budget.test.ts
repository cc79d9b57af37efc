import {describe, it} from '@bilberryscale/testing';
import * as assert from 'uvu/assert';
import {RetryBudget} from '../../src/limits/retry-budget.js';

const limit = {ratio: 0.2, slack: 60, windowMs: 10_000};

function countTaken(budget: RetryBudget, nowMs: number): number {
	let count = 0;
	while (budget.take(nowMs)) {
		count++;
	}

	return count;
}

describe('RetryBudget', () => {
	describe('take', () => {
		function doTest(
			name: string,
			input: {readonly hosts: number; readonly requests: number},
			expected: number,
		): void {
			it(name, () => {
				const budget = new RetryBudget(
					() => limit,
					() => input.hosts,
				);
				for (let index = 0; index < input.requests; index++) {
					budget.addRequest(0);
				}

				assert.is(countTaken(budget, 0), expected);
			});
		}

		doTest('divides the slack among the hosts', {hosts: 15, requests: 0}, 3);
		doTest(
			'adds a share of the requests of this host',
			{hosts: 15, requests: 100},
			18,
		);
		doTest(
			'allows no retry if the share of the slack is too small',
			{hosts: 100, requests: 0},
			0,
		);

		it('keeps the reserved share for callers that return after refusals', () => {
			const budget = new RetryBudget(
				() => limit,
				() => 15,
			);
			for (let index = 0; index < 100; index++) {
				budget.addRequest(0);
			}

			let firstCount = 0;
			while (budget.take(0, 0.6)) {
				firstCount++;
			}

			assert.is(firstCount, 7);
			assert.is(countTaken(budget, 0), 11);
		});

		it('keeps all hosts together below the limit', () => {
			const hosts = Array.from(
				{length: 16},
				() =>
					new RetryBudget(
						() => limit,
						() => 16,
					),
			);
			let taken = 0;
			for (const host of hosts) {
				for (let index = 0; index < 20; index++) {
					host.addRequest(0);
				}

				taken += countTaken(host, 0);
			}

			assert.ok(taken <= limit.ratio * 320 + limit.slack, String(taken));
		});

		it('allows retries again after the window, not before', () => {
			const budget = new RetryBudget(
				() => limit,
				() => 15,
			);
			assert.is(countTaken(budget, 500), 3);
			assert.is(countTaken(budget, 9900), 0);
			assert.is(countTaken(budget, 10_500), 3);
		});

		it('keeps the counts when the window changes', () => {
			let current = limit;
			const budget = new RetryBudget(
				() => current,
				() => 15,
			);
			assert.is(countTaken(budget, 5000), 3);
			current = {...limit, windowMs: 20_000};
			assert.is(countTaken(budget, 5100), 0);
			assert.is(countTaken(budget, 23_000), 0);
			assert.is(countTaken(budget, 26_000), 3);
		});
	});
});
