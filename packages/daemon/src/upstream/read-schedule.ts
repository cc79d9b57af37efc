/** Shares the time of the event loop among connections that have much to read. */

import {systemClock, type Clock} from '@bilberryscale/core';

/** What a schedule depends on; a test replaces it. */
export type ReadScheduleOptions = {
	readonly clock: Clock;
	/** Runs an action once the events are handled that have already occurred. */
	readonly afterEvents: (action: () => void) => void;
};

/** How long reads may take in a turn of the event loop, in milliseconds. */
const maxTurnMs = 0.4;

/** Runs reads in turn, some in each turn of the event loop, so that events of other connections are handled between them. */
export class ReadSchedule {
	readonly clock: Clock;
	readonly #options: ReadScheduleOptions;
	readonly #waiting: Array<() => void> = [];
	#isScheduled = false;

	/**
	 * @param options - The clock and the event loop.
	 */
	constructor(options: ReadScheduleOptions) {
		this.clock = options.clock;
		this.#options = options;
	}

	/**
	 * Adds a read behind those that wait already.
	 *
	 * @param read - Reads a part of what a connection has received.
	 */
	add(read: () => void): void {
		this.#waiting.push(read);
		this.#schedule();
	}

	/**
	 * Runs the reads that wait, and those that they add, without a break.
	 *
	 * @param maxMs - How long that may take, in milliseconds.
	 */
	runAll(maxMs: number): void {
		const endsAtMs = this.clock.monotonicMs() + maxMs;
		while (this.#waiting.length > 0 && this.clock.monotonicMs() < endsAtMs) {
			this.#waiting.shift()!();
		}
	}

	#schedule(): void {
		if (!this.#isScheduled) {
			this.#isScheduled = true;
			this.#options.afterEvents(() => {
				this.#isScheduled = false;
				this.#runTurn();
			});
		}
	}

	#runTurn(): void {
		const endsAtMs = this.clock.monotonicMs() + maxTurnMs;
		// Reads that are added meanwhile wait for the next turn.
		for (let count = this.#waiting.length; count > 0; count--) {
			this.#waiting.shift()!();
			if (this.clock.monotonicMs() >= endsAtMs) {
				break;
			}
		}

		if (this.#waiting.length > 0) {
			this.#schedule();
		}
	}
}

/** The schedule of this process. */
export const processReadSchedule = new ReadSchedule({
	clock: systemClock,
	afterEvents(action) {
		setImmediate(action);
	},
});
