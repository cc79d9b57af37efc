/** Detects that this host was paused, for example by its machine. */

import type {CancelFunction, Clock} from '@bilberryscale/core';

const intervalMs = 200;
/** A processor share of 0.27 stops a busy host for up to 75 ms at a time; a pause must be much longer to count. */
const minPauseMs = 1000;
/** After a pause, messages that arrived in it are read for so long, in milliseconds; their senders have given up. */
const staleReadMs = 30;

/** Compares the clock with the time at which a timer should have run. */
export class PauseDetector {
	readonly #clock: Clock;
	readonly #onPause: (pauseMs: number) => void;
	#staleUntilMs = 0;
	#cancel: CancelFunction | undefined;

	/**
	 * @param clock - The clock.
	 * @param onPause - Called after a pause with its length in milliseconds.
	 */
	constructor(clock: Clock, onPause: (pauseMs: number) => void) {
		this.#clock = clock;
		this.#onPause = onPause;
	}

	/** Tells whether requests of other hosts that arrive now may be from before the end of a pause. */
	get isReadingStale(): boolean {
		return this.#clock.monotonicMs() < this.#staleUntilMs;
	}

	/** Starts the timer; further calls have no effect. */
	start(): void {
		if (this.#cancel === undefined) {
			this.#schedule();
		}
	}

	/** Stops the timer. */
	stop(): void {
		this.#cancel?.();
	}

	#schedule(): void {
		const startedAtMs = this.#clock.monotonicMs();
		this.#cancel = this.#clock.schedule(intervalMs, () => {
			const nowMs = this.#clock.monotonicMs();
			const pauseMs = nowMs - startedAtMs - intervalMs;
			if (pauseMs > minPauseMs) {
				this.#staleUntilMs = nowMs + staleReadMs;
				this.#onPause(pauseMs);
			}

			this.#schedule();
		});
	}
}
