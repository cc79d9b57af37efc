/** How many hosts must confirm. */

import {describe, it} from '@bilberryscale/testing';
import * as assert from 'uvu/assert';
import {getQuorum} from '../../src/index.js';

describe('getQuorum', () => {
	const doTest = (hostCount: number, listDifference: number, want: number) => {
		it(`of ${hostCount} hosts, lists ${listDifference} apart`, () => {
			assert.is(getQuorum(hostCount, listDifference), want);
		});
	};

	doTest(1, 4, 1);
	doTest(2, 4, 2);
	doTest(3, 4, 2);
	doTest(5, 4, 4);
	doTest(15, 4, 10);
	doTest(16, 0, 9);
});
