import {describe, it} from '@bilberryscale/testing';
import * as assert from 'uvu/assert';
import {TokenBucket} from '../../src/accounts/token-bucket.js';

function makeBucket(level: number): TokenBucket {
	return new TokenBucket({ratePerSecond: 10, burst: 8, level, nowMs: 0});
}

describe('TokenBucket', () => {
	describe('take', () => {
		function doTest(
			name: string,
			input: {readonly level: number; readonly wanted: number},
			expected: number,
		): void {
			it(name, () => {
				const {level, wanted} = input;
				assert.is(makeBucket(level).take(2, wanted, 0), expected);
			});
		}

		doTest(
			'grants what is wanted from a full bucket',
			{level: 8, wanted: 4},
			4,
		);
		// Guards against a host that takes the last tokens in advance while another is refused.
		doTest('leaves half for other hosts', {level: 8, wanted: 8}, 4);
		doTest('grants only what is needed', {level: 3, wanted: 3}, 2);
		doTest('grants less than is needed', {level: 1.5, wanted: 4}, 1);
		doTest('holds no more than the burst', {level: 100, wanted: 100}, 4);
	});

	describe('configure', () => {
		it('drops tokens above a lower burst', () => {
			const bucket = makeBucket(8);
			bucket.configure(10, 1, 0);
			assert.is(bucket.take(5, 5, 0), 1);
		});
	});

	describe('reserveReturnMs', () => {
		it('gives each refused request a token of its own, within a second', () => {
			// Guards against refused callers that all return for the same token.
			const bucket = makeBucket(0);
			const times = Array.from({length: 12}, () => bucket.reserveReturnMs(0));
			assert.equal(times.slice(0, 3), [100, 200, 300]);
			assert.is(times.at(-1), 1000);
		});

		it('returns a time without a rate', () => {
			// Guards against a reply without a valid time, which its receiver would drop.
			const bucket = makeBucket(8);
			bucket.configure(0, 8, 0);
			assert.is(bucket.reserveReturnMs(0), 1000);
		});
	});
});
