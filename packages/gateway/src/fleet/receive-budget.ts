/** Bounds how much of the time of the event loop a kind of message takes. */

import type {Clock} from '@bilberryscale/core';

/** How much time the messages may take. */
export type ReceiveBudgetOptions = {
	readonly clock: Clock;
	/** The share of the time that they may take in the long run. */
	readonly share: number;
	/** How long they may take at once after a pause, in milliseconds. */
	readonly burstMs: number;
};

/** Drops messages while those before them have used up their time. */
export class ReceiveBudget {
	/** How many messages were dropped. */
	droppedCount = 0;
	readonly #options: ReceiveBudgetOptions;
	#availableMs: number;
	#refilledAtMs: number;

	/**
	 * @param options - How much time the messages may take.
	 */
	constructor(options: ReceiveBudgetOptions) {
		this.#options = options;
		this.#availableMs = options.burstMs;
		this.#refilledAtMs = options.clock.monotonicMs();
	}

	/**
	 * Handles a message, or drops it.
	 *
	 * @param handle - Handles the message.
	 */
	run(handle: () => void): void {
		const {clock, share, burstMs} = this.#options;
		const startedAtMs = clock.monotonicMs();
		const refillMs = (startedAtMs - this.#refilledAtMs) * share;
		this.#refilledAtMs = startedAtMs;
		this.#availableMs = Math.min(burstMs, this.#availableMs + refillMs);
		if (this.#availableMs <= 0) {
			this.droppedCount++;
			return;
		}

		handle();
		// The process may have been stopped meanwhile, which must not keep it from handling others for long.
		const spentMs = clock.monotonicMs() - startedAtMs;
		this.#availableMs = Math.max(-burstMs, this.#availableMs - spentMs);
	}
}
