/** The system clock. */

import {performance} from 'node:perf_hooks';
import type {Clock} from './clock.js';

/** The clock of the operating system; its pending timers keep the process running. */
export const systemClock: Clock = {
	monotonicMs() {
		return performance.now();
	},
	now() {
		return new Date();
	},
	schedule(delayMs, action) {
		const timer = setTimeout(action, delayMs);
		return () => {
			clearTimeout(timer);
		};
	},
};
