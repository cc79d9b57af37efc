import {describe, it} from '@bilberryscale/testing';
import * as assert from 'uvu/assert';
import {
	getStallTimeoutMs,
	type StallContext,
} from '../../src/relay/get-stall-timeout-ms.js';

describe('getStallTimeoutMs', () => {
	function doTest(
		name: string,
		input: StallContext,
		expected: number | undefined,
	): void {
		it(name, () => {
			assert.is(getStallTimeoutMs(input), expected);
		});
	}

	doTest(
		'is a multiple of the expected latency',
		{expectedMs: 400, serviceTimeMs: 200, remainingMs: 2500},
		1100,
	);
	doTest(
		'is not below that of the typical service time',
		{expectedMs: 100, serviceTimeMs: 200, remainingMs: 2500},
		600,
	);
	doTest(
		'is undefined if another attempt would not complete',
		{expectedMs: 400, serviceTimeMs: 200, remainingMs: 1400},
		undefined,
	);
});
