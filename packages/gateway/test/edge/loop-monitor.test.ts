import {ManualClock} from '@bilberryscale/core';
import {describe, it} from '@bilberryscale/testing';
import * as assert from 'uvu/assert';
import {LoopMonitor} from '../../src/edge/loop-monitor.js';

describe('LoopMonitor', () => {
	describe('getEarliestEventMs', () => {
		function doTest(
			name: string,
			input: {
				readonly idleMs: number;
				readonly blockedMs: number;
				/** Whether the events that came during the blockage are handled. */
				readonly areEventsHandled?: boolean;
			},
			expectedMs: number,
		): void {
			it(name, () => {
				const clock = new ManualClock();
				let blockedMs = 0;
				const monitor = new LoopMonitor(
					{
						monotonicMs: () => clock.monotonicMs() + blockedMs,
						now: () => clock.now(),
						schedule: (delayMs, action) => clock.schedule(delayMs, action),
					},
					(action) => {
						if (input.areEventsHandled === true) {
							action();
						}
					},
				);
				clock.advance(input.idleMs);
				blockedMs = input.blockedMs;
				clock.advance(100);
				assert.is(monitor.getEarliestEventMs(), expectedMs);
			});
		}

		doTest(
			'is the latest tick while the loop runs',
			{idleMs: 1000, blockedMs: 0},
			1100,
		);
		doTest(
			'is the tick before a blockage right after it',
			{idleMs: 1000, blockedMs: 700},
			1000,
		);
		// Guards against a stop that is timed from before a blockage although its signal came afterwards.
		doTest(
			'is the end of a blockage once the events of its time are handled',
			{idleMs: 1000, blockedMs: 700, areEventsHandled: true},
			1800,
		);
	});
});
