import {describe, it} from '@bilberryscale/testing';
import * as assert from 'uvu/assert';
import {LastSlotFactor} from '../../src/choice/last-slot-factor.js';
import {reading} from '../fixtures.js';

describe('LastSlotFactor', () => {
	describe('get', () => {
		function doTest(
			name: string,
			input: {readonly lastSlotTime: number; readonly count: number},
			expected: number,
		): void {
			it(name, () => {
				const factor = new LastSlotFactor();
				for (let index = 0; index < input.count; index++) {
					factor.add(reading, false, 1);
					factor.add(reading, true, input.lastSlotTime);
				}

				assert.is(Math.round(factor.get(reading, 4) * 100) / 100, expected);
			});
		}

		doTest('starts with the default', {lastSlotTime: 1, count: 0}, 1.5);
		doTest('follows a slow last slot', {lastSlotTime: 1.7, count: 10}, 1.7);
		doTest(
			'follows a last slot that is not slow',
			{lastSlotTime: 1, count: 10},
			1,
		);
		doTest(
			'weights the default with few samples',
			{lastSlotTime: 1.8, count: 3},
			1.65,
		);
		doTest('is never below 1', {lastSlotTime: 0.5, count: 10}, 1);

		it('has a lower default for two slots', () => {
			assert.is(new LastSlotFactor().get(reading, 2), 1.1);
		});
	});
});
