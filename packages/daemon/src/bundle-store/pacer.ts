/** Spaces calls out over time, to limit the load of many hosts on the platform. */

import type {Clock} from '@bilberryscale/core';

/** Waits until the next call may start. */
export type Pacer = () => Promise<void>;

/**
 * Creates a pacer.
 *
 * @param clock - The clock that measures and schedules.
 * @param minIntervalMs - The minimum interval between two starts, in milliseconds.
 * @returns The pacer.
 */
export function makePacer(clock: Clock, minIntervalMs: number): Pacer {
	let nextStartMs = 0;
	return async () => {
		const nowMs = clock.monotonicMs();
		const startMs = Math.max(nowMs, nextStartMs);
		nextStartMs = startMs + minIntervalMs;
		if (startMs > nowMs) {
			await new Promise<void>((resolve) => {
				clock.schedule(startMs - nowMs, resolve);
			});
		}
	};
}
