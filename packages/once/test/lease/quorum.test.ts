/** The number of hosts that must grant a lease. */

import {describe, it} from '@bilberryscale/testing';
import * as assert from 'uvu/assert';
import {getQuorum} from '../../src/index.js';

describe('getQuorum', () => {
	const doTest = (
		hostCount: number,
		maxListDifference: number,
		expected: number,
	) => {
		it(`for ${hostCount} hosts, lists that differ by ${maxListDifference}`, () => {
			assert.is(getQuorum(hostCount, maxListDifference), expected);
		});
	};

	doTest(1, 4, 1);
	doTest(2, 4, 2);
	doTest(3, 4, 2);
	doTest(5, 4, 4);
	doTest(15, 4, 10);
	doTest(16, 0, 9);
});
