import {describe, it} from '@bilberryscale/testing';
import fc from 'fast-check';
import * as assert from 'uvu/assert';
import {RetryLedger} from '../../src/limits/retry-ledger.js';

const windowMs = 1000;
const transitMs = 250;

type Entry = {readonly afterMs: number; readonly amount: number};

/** Adds up what was spent since each moment of the window, counting each spending until it has certainly arrived. */
function getExpectedDebt(
	entries: ReadonlyArray<{readonly atMs: number; readonly amount: number}>,
	nowMs: number,
): number {
	const starts = entries.flatMap(({atMs}) => [atMs, atMs + transitMs]);
	const debts = [...starts, nowMs - windowMs]
		.filter((startMs) => startMs >= nowMs - windowMs && startMs <= nowMs)
		.map((startMs) =>
			entries
				.filter(({atMs, amount}) =>
					amount > 0 ? atMs + transitMs > startMs : atMs > startMs,
				)
				.reduce((sum, {amount}) => sum + amount, 0),
		);
	return Math.max(0, ...debts);
}

describe('RetryLedger', () => {
	describe('getDebt', () => {
		it('gets the largest excess since any moment of the window', () => {
			fc.assert(
				fc.property(
					fc.array(
						fc.record<Entry>({
							afterMs: fc.integer({min: 1, max: 400}),
							amount: fc.constantFrom(1, 0.5, -0.2, -0.2, -1),
						}),
						{maxLength: 40},
					),
					fc.integer({min: 0, max: 1200}),
					(entries, restMs) => {
						const ledger = new RetryLedger();
						const added: Array<{atMs: number; amount: number}> = [];
						let nowMs = 0;
						for (const {afterMs, amount} of entries) {
							nowMs += afterMs;
							added.push({atMs: nowMs, amount});
							if (amount > 0) {
								ledger.spend(amount, nowMs);
							} else {
								ledger.earn(-amount, nowMs);
							}
						}

						nowMs += restMs;
						const debt = ledger.getDebt(nowMs, windowMs);
						const expected = getExpectedDebt(added, nowMs);
						assert.ok(
							Math.abs(debt - expected) < 1e-9,
							`${debt}, expected ${expected}`,
						);
					},
				),
				{seed: 48, numRuns: 500},
			);
		});
	});
});
