/** Tells since when the event loop may have been blocked. */

import type {Clock} from '@bilberryscale/core';

const tickMs = 100;
/** A tick that comes later than this shows that the loop was blocked before it, in milliseconds. */
const toleratedDelayMs = 20;

/** Ticks regularly to notice when the event loop doesn't run, for example because the process gets too little processor time. */
export class LoopMonitor {
	readonly #clock: Clock;
	readonly #afterEvents: (action: () => void) => void;
	#lastTickMs: number;
	/** When the loop is known to have run, and to have handled all events until then. */
	#runningUntilMs: number;

	/**
	 * @param clock - The clock.
	 * @param afterEvents - Runs an action once the events are handled that have already occurred.
	 */
	constructor(clock: Clock, afterEvents: (action: () => void) => void) {
		this.#clock = clock;
		this.#afterEvents = afterEvents;
		this.#lastTickMs = clock.monotonicMs();
		this.#runningUntilMs = this.#lastTickMs;
		this.#schedule();
	}

	/**
	 * Gets when an event may have occurred that is handled now: after a blockage,
	 * timers run before the events that came in the meantime.
	 *
	 * @returns The earliest time on the monotonic clock, in milliseconds.
	 */
	getEarliestEventMs(): number {
		return this.#runningUntilMs;
	}

	#schedule(): void {
		this.#clock.schedule(tickMs, () => {
			const nowMs = this.#clock.monotonicMs();
			const isLate = nowMs - this.#lastTickMs > tickMs + toleratedDelayMs;
			this.#runningUntilMs = isLate ? this.#lastTickMs : nowMs;
			this.#lastTickMs = nowMs;
			if (isLate) {
				this.#afterEvents(() => {
					this.#runningUntilMs = nowMs;
				});
			}

			this.#schedule();
		});
	}
}
