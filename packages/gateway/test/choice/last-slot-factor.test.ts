import {describe, it} from '@bilberryscale/testing';
import * as assert from 'uvu/assert';
import {LastSlotFactor} from '../../src/choice/last-slot-factor.js';
import {reading} from '../fixtures.js';

describe('LastSlotFactor', () => {
	describe('get', () => {
		function doTest(
			name: string,
			input: {readonly full: number; readonly count: number},
			expected: number,
		): void {
			it(name, () => {
				const factor = new LastSlotFactor();
				for (let index = 0; index < input.count; index++) {
					factor.add(reading, false, 1);
					factor.add(reading, true, input.full);
				}

				assert.is(Math.round(factor.get(reading, 4) * 100) / 100, expected);
			});
		}

		doTest('assumes a slow last slot', {full: 1, count: 0}, 1.5);
		doTest('learns that it is slower', {full: 1.7, count: 10}, 1.7);
		doTest('learns that it is not slow', {full: 1, count: 10}, 1);
		doTest('trusts few answers a little', {full: 1.8, count: 3}, 1.65);
		doTest('is never below 1', {full: 0.5, count: 10}, 1);

		it('assumes little of two slots', () => {
			assert.is(new LastSlotFactor().get(reading, 2), 1.1);
		});
	});
});
