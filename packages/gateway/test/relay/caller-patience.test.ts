import {makeId} from '@bilberryscale/core';
import {describe, it} from '@bilberryscale/testing';
import * as assert from 'uvu/assert';
import type {RouteName} from '../../src/plan/routing-plan.js';
import {CallerPatience} from '../../src/relay/caller-patience.js';

const route = makeId<RouteName>('r');
const other = makeId<RouteName>('s');

describe('CallerPatience', () => {
	describe('isReturning', () => {
		function doTest(
			name: string,
			input: number | undefined,
			expected: boolean,
		): void {
			it(name, () => {
				const patience = new CallerPatience();
				patience.isReturning(route, 2500);
				patience.isReturning(other, 9000);
				assert.is(patience.isReturning(route, input), expected);
			});
		}

		doTest('is false with all the time', 2500, false);
		doTest('is false with hardly less', 2490, false);
		doTest('is true with less', 2300, true);
		doTest('is false where the caller does not say', undefined, false);
	});
});
