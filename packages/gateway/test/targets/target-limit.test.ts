import {describe, it} from '@bilberryscale/testing';
import * as assert from 'uvu/assert';
import {TargetLimit, type LimitSource} from '../../src/targets/target-limit.js';

type Response = readonly [perSecond: number | undefined, source: LimitSource];

describe('TargetLimit', () => {
	describe('add', () => {
		function doTest(
			name: string,
			input: readonly Response[],
			expected: {
				readonly perSecond: number | undefined;
				readonly changes: ReadonlyArray<string | undefined>;
			},
		): void {
			it(name, () => {
				const limit = new TargetLimit();
				const changes = input.map(([perSecond, source]) =>
					limit.add(perSecond, source, 0),
				);
				assert.equal(changes, expected.changes);
				assert.is(limit.perSecond, expected.perSecond);
			});
		}

		doTest('has no limit at first', [[undefined, 'probe']], {
			perSecond: undefined,
			changes: [undefined],
		});
		doTest(
			'follows the newest limit',
			[
				[1, 'probe'],
				[1.4, 'attempt'],
			],
			{perSecond: 1.4, changes: ['limited', undefined]},
		);
		doTest(
			'is lifted by a response of a kind that has named it',
			[
				[1, 'probe'],
				[undefined, 'probe'],
			],
			{perSecond: undefined, changes: ['limited', 'unlimited']},
		);
		doTest(
			'is not lifted by a response of a kind that has never named it',
			[
				[1, 'attempt'],
				[undefined, 'probe'],
			],
			{perSecond: 1, changes: ['limited', undefined]},
		);
		doTest('keeps a limit of 0', [[0, 'probe']], {
			perSecond: 0,
			changes: ['limited'],
		});
	});

	describe('canSend', () => {
		const policy = {getShare: () => 0.5, getCheckDelayMs: () => 10_000};

		it('lets this host send its part and no request at first', () => {
			const limit = new TargetLimit(policy);
			limit.add(1, 'probe', 0);
			assert.is(limit.canSend(0), false);
			assert.is(limit.getWaitMs(0), 2000);
			assert.is(limit.canSend(2000), true);
			limit.addSend(2000);
			assert.is(limit.canSend(3900), false);
			assert.is(limit.canSend(4000), true);
		});

		it('saves up one request and no more', () => {
			const limit = new TargetLimit(policy);
			limit.add(1, 'probe', 0);
			limit.addSend(60_000);
			assert.is(limit.canSend(60_000), false);
		});

		it('is false for ever on a host without a part of the limit', () => {
			const limit = new TargetLimit({...policy, getShare: () => 0});
			limit.add(1, 'probe', 0);
			assert.is(limit.getWaitMs(60_000), Number.POSITIVE_INFINITY);
		});

		it('is true once the limit is lifted', () => {
			const limit = new TargetLimit(policy);
			limit.add(1, 'probe', 0);
			limit.lift();
			assert.is(limit.canSend(1), true);
		});
	});

	describe('canProbe', () => {
		it('is true only when the limit was not heard of for the delay', () => {
			const limit = new TargetLimit({
				getShare: () => 0,
				getCheckDelayMs: () => 10_000,
			});
			assert.is(limit.canProbe(0), true);
			limit.add(1, 'probe', 0);
			assert.is(limit.canProbe(9999), false);
			limit.add(1, 'attempt', 5000);
			assert.is(limit.canProbe(14_999), false);
			assert.is(limit.canProbe(15_000), true);
			limit.addProbe(15_000);
			assert.is(limit.canProbe(15_001), false);
		});
	});
});
