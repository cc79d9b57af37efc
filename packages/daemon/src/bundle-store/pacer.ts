/** Spreads calls over time, so that many hosts together spare the platform. */

import type {Clock} from '@bilberryscale/core';

/** Waits until the next call may start. */
export type Pacer = () => Promise<void>;

/**
 * Makes a pacer.
 *
 * @param clock - The clock.
 * @param spacingMs - The least time between two starts, in milliseconds.
 * @returns The pacer.
 */
export function makePacer(clock: Clock, spacingMs: number): Pacer {
	let nextStartMs = 0;
	return async () => {
		const nowMs = clock.monotonicMs();
		const startMs = Math.max(nowMs, nextStartMs);
		nextStartMs = startMs + spacingMs;
		if (startMs > nowMs) {
			await new Promise<void>((resolve) => {
				clock.schedule(startMs - nowMs, resolve);
			});
		}
	};
}
