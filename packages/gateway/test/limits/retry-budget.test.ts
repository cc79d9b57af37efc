import {describe, it} from '@bilberryscale/testing';
import * as assert from 'uvu/assert';
import {RetryBudget} from '../../src/limits/retry-budget.js';
import type {RetryPart} from '../../src/limits/retry-part.js';

const limit = {ratio: 0.2, slack: 60, windowMs: 10_000};

function makeBudget(
	hostCount: number,
	part: Partial<RetryPart> = {},
	getLimit = () => limit,
): RetryBudget {
	return new RetryBudget({
		getLimit,
		getPart: () => ({hostCount, hasSlack: true, isNew: false, ...part}),
	});
}

function addRequests(budget: RetryBudget, count: number, nowMs = 0): void {
	for (let index = 0; index < count; index++) {
		budget.addRequest(nowMs);
	}
}

function countTaken(
	budget: RetryBudget,
	nowMs: number,
	reservedShare = 0,
): number {
	let count = 0;
	while (budget.take(nowMs, reservedShare)) {
		count++;
	}

	return count;
}

describe('RetryBudget', () => {
	describe('take', () => {
		function doTest(
			name: string,
			input: {
				readonly hosts: number;
				readonly requests: number;
				readonly part?: Partial<RetryPart>;
			},
			expected: number,
		): void {
			it(name, () => {
				const budget = makeBudget(input.hosts, input.part);
				addRequests(budget, input.requests);
				assert.is(countTaken(budget, 0), expected);
			});
		}

		doTest('divides the slack among the hosts', {hosts: 15, requests: 0}, 4);
		doTest(
			'saves up no more than the part of the slack',
			{hosts: 15, requests: 100},
			4,
		);
		doTest(
			'allows no retry if the part of the slack is too small',
			{hosts: 100, requests: 0},
			0,
		);
		doTest(
			'allows a host without a part of the slack one retry that it has earned',
			{hosts: 15, requests: 100, part: {hasSlack: false, isNew: true}},
			1,
		);
		doTest(
			'allows a new host nothing that it has not earned',
			{hosts: 15, requests: 4, part: {hasSlack: false, isNew: true}},
			0,
		);

		it('adds a share of the requests of this host', () => {
			const budget = makeBudget(15);
			assert.is(countTaken(budget, 0), 4);
			addRequests(budget, 10, 1000);
			assert.is(countTaken(budget, 1000), 2);
		});

		it('keeps the reserved share for callers that return after refusals', () => {
			const budget = makeBudget(10);
			assert.is(countTaken(budget, 0, 0.6), 3);
			assert.is(countTaken(budget, 0), 3);
		});

		it('keeps all hosts together below the limit', () => {
			const hosts = Array.from({length: 16}, () => makeBudget(16));
			let taken = 0;
			for (const host of hosts) {
				for (let index = 0; index < 20; index++) {
					host.addRequest(400 * index);
					taken += countTaken(host, 400 * index);
				}
			}

			assert.ok(taken <= limit.ratio * 320 + limit.slack, String(taken));
			assert.ok(taken > 0.9 * (limit.ratio * 320 + limit.slack), String(taken));
		});

		it('allows retries again after the window, not before', () => {
			const budget = makeBudget(15);
			assert.is(countTaken(budget, 500), 4);
			assert.is(countTaken(budget, 10_499), 0);
			assert.is(countTaken(budget, 11_001), 4);
		});

		it('keeps the counts when the window changes', () => {
			let current = limit;
			const budget = makeBudget(15, {}, () => current);
			assert.is(countTaken(budget, 5000), 4);
			current = {...limit, windowMs: 20_000};
			assert.is(countTaken(budget, 5100), 0);
			assert.is(countTaken(budget, 23_000), 0);
			assert.is(countTaken(budget, 26_000), 4);
		});
	});

	describe('renew', () => {
		it('counts a retry in the windows of the moment at which it is sent', () => {
			const budget = makeBudget(15);
			assert.is(countTaken(budget, 0), 4);
			assert.is(budget.renew(0, 9000), true);
			assert.is(countTaken(budget, 10_501), 3);
		});

		it('renews a retry that is still under way, if the budget holds no other', () => {
			const budget = makeBudget(60);
			assert.is(budget.take(0), true);
			assert.is(budget.take(0), false);
			assert.is(budget.renew(0, 120), true);
			assert.is(budget.take(120), false);
		});

		it('gives back a retry that was not sent', () => {
			const budget = makeBudget(15);
			assert.is(countTaken(budget, 0), 4);
			budget.giveBack(0, 1000);
			assert.is(countTaken(budget, 1000), 1);
		});
	});

	describe('lend', () => {
		it('gives what this host has, and adds it to what the other host may spend', () => {
			const lender = makeBudget(40);
			const borrower = makeBudget(40);
			assert.is(borrower.take(0), true);
			assert.is(borrower.take(0), false);
			const loan = lender.lend(0, borrower.getMissing(0), 0);
			assert.is(loan, 0.5);
			assert.is(borrower.take(0, 0, loan), true);
			assert.is(borrower.take(0), false);
			assert.is(lender.take(0), true);
			assert.is(lender.take(0), false);
		});

		it('keeps the reserved share', () => {
			const lender = makeBudget(10);
			assert.is(lender.lend(0, 6, 0.6), 3);
			assert.is(lender.lend(0, 6, 0), 3);
			assert.is(lender.lend(0, 6, 0), 0);
		});
	});
});
