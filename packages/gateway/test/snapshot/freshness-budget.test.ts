import {describe, it} from '@bilberryscale/testing';
import * as assert from 'uvu/assert';
import {FreshnessBudget} from '../../src/snapshot/freshness-budget.js';

describe('FreshnessBudget', () => {
	for (const maxChangeDelayMs of [100, 1000, 2000, 6000, 60_000]) {
		describe(`of ${maxChangeDelayMs} ms`, () => {
			const budget = new FreshnessBudget(() => ({
				maxChangeDelayMs,
				recoveryMs: 3000,
			}));

			it('leaves an eighth of the bound for the response within its half', () => {
				for (const rank of [0, 1, 2, 3, 400]) {
					const ageMs = budget.getDirectReadAgeMs(rank);
					assert.ok(ageMs + maxChangeDelayMs / 8 <= maxChangeDelayMs / 2);
				}
			});

			it('lets first hosts read before others leave them', () => {
				assert.ok(budget.refreshAgeMs < budget.getDirectReadAgeMs(0));
				assert.ok(budget.getDirectReadAgeMs(1) < budget.maxPeerAgeMs);
				assert.ok(budget.maxPeerAgeMs < budget.getDirectReadAgeMs(3));
			});

			it('pauses for less than it may wait', () => {
				assert.ok(budget.coalescingDelayMs < budget.refreshAgeMs);
			});
		});
	}

	it('follows bounds that change', () => {
		let maxChangeDelayMs = 2000;
		const budget = new FreshnessBudget(() => ({
			maxChangeDelayMs,
			recoveryMs: 3000,
		}));
		assert.is(budget.getDirectReadAgeMs(9), 750);
		maxChangeDelayMs = 1000;
		assert.is(budget.getDirectReadAgeMs(9), 375);
	});

	describe('maxStoreRetryDelayMs', () => {
		function doTest(recoveryMs: number, expectedMs: number): void {
			it(`leaves time for two reads within ${recoveryMs} ms`, () => {
				const budget = new FreshnessBudget(() => ({
					maxChangeDelayMs: 2000,
					recoveryMs,
				}));
				assert.is(budget.maxStoreRetryDelayMs, expectedMs);
			});
		}

		doTest(3000, 2500);
		doTest(1000, 500);
		doTest(200, 100);
	});
});
