/** One timer that follows the earliest time at which something is due. */

import type {Cancellation, Clock} from '@bilberryscale/core';

/** A timer that can be moved. */
export class WakeTimer {
	readonly #clock: Clock;
	readonly #wake: () => void;
	#dueMs: number | undefined;
	#cancel: Cancellation | undefined;

	/**
	 * @param clock - The clock.
	 * @param wake - Runs when the time has come.
	 */
	constructor(clock: Clock, wake: () => void) {
		this.#clock = clock;
		this.#wake = wake;
	}

	/**
	 * Sets the time; does nothing if it is set already.
	 *
	 * @param dueMs - The monotonic time in milliseconds; undefined for never.
	 */
	set(dueMs: number | undefined): void {
		if (dueMs === this.#dueMs) {
			return;
		}

		this.#cancel?.();
		this.#dueMs = dueMs;
		if (dueMs !== undefined) {
			const delayMs = Math.max(0, dueMs - this.#clock.monotonicMs());
			this.#cancel = this.#clock.schedule(Math.ceil(delayMs), () => {
				this.#dueMs = undefined;
				this.#wake();
			});
		}
	}
}
