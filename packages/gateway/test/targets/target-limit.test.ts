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
					limit.add(perSecond, source),
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
});
