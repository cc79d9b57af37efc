/**
 * Searches random histories of a model fleet for a key that runs twice. It must
 * find none while the safety rules hold, and one as soon as a single rule is
 * broken, which shows that the search can find one.
 */

import {describe, it} from '@bilberryscale/testing';
import fc from 'fast-check';
import * as assert from 'uvu/assert';
import {defaultLeasePolicy, type LeasePolicy} from '../../src/index.js';
import {commands} from './commands.js';
import {FleetModel, type Variant} from './fleet-model.js';

const seed = 5;
const safeRunCount = 1500;
const brokenRunCount = 10_000;
const policy: LeasePolicy = {
	...defaultLeasePolicy,
	driftMarginMs: 10,
	maxListDifference: 1,
};

function findCounterexample(
	variant: Variant,
	runCount: number,
): string | undefined {
	const property = fc.property(
		commands,
		(sequence) => new FleetModel(variant).run(sequence).begunTwice === 0,
	);
	const details = fc.check(property, {
		seed,
		numRuns: runCount,
		endOnFailure: true,
	});
	return details.failed ? JSON.stringify(details.counterexample) : undefined;
}

describe('at most once', () => {
	it('holds with message delay, loss and duplication, pauses and restarts', () => {
		assert.is(findCounterexample({policy}, safeRunCount), undefined);
	});

	it('lets keys run in over a tenth of the samples', () => {
		const samples = fc.sample(commands, {seed, numRuns: safeRunCount});
		const begun = samples
			.map((sequence) => new FleetModel({policy}).run(sequence).begun)
			.filter((count) => count > 0);
		assert.ok(
			begun.length > safeRunCount / 10,
			`${begun.length} runs began a key`,
		);
	});

	describe('is violated', () => {
		const doTest = (name: string, variant: Variant) => {
			it(name, () => {
				assert.is.not(findCounterexample(variant, brokenRunCount), undefined);
			});
		};

		doTest('without a grace period after the start', {
			policy,
			skipsGracePeriod: true,
		});
		doTest('if leases count from the reply instead of the claim', {
			policy,
			countsLeaseFromReply: true,
		});
		doTest('if the lease and the key are checked at two clock readings', {
			policy,
			readsClockTwice: true,
		});
		doTest('if keys older than the lease are accepted', {
			policy: {...policy, maxClockErrorMs: Number.NEGATIVE_INFINITY},
		});
		doTest('if lists may differ more than the quorum allows', {
			policy: {...policy, maxListDifference: 0},
		});
	});
});
