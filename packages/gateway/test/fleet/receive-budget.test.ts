/** A flood of datagrams took the event loop from all requests. */

import {ManualClock} from '@bilberryscale/core';
import {describe, it} from '@bilberryscale/testing';
import * as assert from 'uvu/assert';
import {ReceiveBudget} from '../../src/fleet/receive-budget.js';

describe('ReceiveBudget', () => {
	describe('run', () => {
		function doTest(
			name: string,
			{intervalMs, handlingMs}: Readonly<Record<string, number>>,
			expected: number,
		): void {
			it(name, () => {
				const clock = new ManualClock();
				const budget = new ReceiveBudget({clock, share: 0.2, burstMs: 10});
				let handledCount = 0;
				const handle = () => {
					handledCount++;
					clock.advance(handlingMs!);
				};

				while (clock.monotonicMs() < 1000) {
					budget.run(handle);
					clock.advance(intervalMs!);
				}

				assert.is(handledCount, expected);
			});
		}

		doTest(
			'handles all that take little time',
			{intervalMs: 9, handlingMs: 1},
			100,
		);
		doTest(
			'handles a fifth of the time at most',
			{intervalMs: 0.25, handlingMs: 1},
			210,
		);
	});
});
