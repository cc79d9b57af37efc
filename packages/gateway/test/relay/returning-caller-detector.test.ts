import {makeId} from '@bilberryscale/core';
import {describe, it} from '@bilberryscale/testing';
import * as assert from 'uvu/assert';
import type {RouteName} from '../../src/plan/routing-plan.js';
import {ReturningCallerDetector} from '../../src/relay/returning-caller-detector.js';

const route = makeId<RouteName>('r');
const other = makeId<RouteName>('s');

describe('ReturningCallerDetector', () => {
	describe('isReturning', () => {
		function doTest(
			name: string,
			input: number | undefined,
			expected: boolean,
		): void {
			it(name, () => {
				const detector = new ReturningCallerDetector();
				detector.isReturning(route, 2500);
				detector.isReturning(other, 9000);
				assert.is(detector.isReturning(route, input), expected);
			});
		}

		doTest('is false with the longest timeout', 2500, false);
		doTest('is false with a slightly shorter timeout', 2490, false);
		doTest('is true with a clearly shorter timeout', 2300, true);
		doTest('is false without a timeout', undefined, false);
	});
});
