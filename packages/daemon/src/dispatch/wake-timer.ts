/** A timer that follows the earliest of several deadlines. */

import type {Cancellation, Clock} from '@bilberryscale/core';

/** Runs a callback at a time that can be changed. */
export class WakeTimer {
	readonly #clock: Clock;
	readonly #onWake: () => void;
	#dueAtMs: number | undefined;
	#cancel: Cancellation | undefined;

	/**
	 * @param clock - The clock.
	 * @param onWake - Runs when the time is reached.
	 */
	constructor(clock: Clock, onWake: () => void) {
		this.#clock = clock;
		this.#onWake = onWake;
	}

	/**
	 * Replaces the time of the next run; does nothing if it is unchanged.
	 *
	 * @param dueAtMs - The monotonic time in milliseconds; undefined for never.
	 */
	set(dueAtMs: number | undefined): void {
		if (dueAtMs === this.#dueAtMs) {
			return;
		}

		this.#cancel?.();
		this.#dueAtMs = dueAtMs;
		if (dueAtMs !== undefined) {
			const delayMs = Math.max(0, dueAtMs - this.#clock.monotonicMs());
			this.#cancel = this.#clock.schedule(Math.ceil(delayMs), () => {
				this.#dueAtMs = undefined;
				this.#onWake();
			});
		}
	}
}
