/** Counts calls by the second in which they came. */

import type {Clock} from '@bilberryscale/core';

const msPerSecond = 1000;

/** The counts of a run. */
export class CallCounts {
	readonly #clock: Clock;
	readonly #startMs: number;
	readonly #bySecond: number[] = [];

	/**
	 * @param clock - The clock.
	 */
	constructor(clock: Clock) {
		this.#clock = clock;
		this.#startMs = clock.monotonicMs();
	}

	/** Gets the number of all calls. */
	get total(): number {
		return this.#bySecond.reduce((sum, count) => sum + count, 0);
	}

	/** Gets the number of calls in the second that had the most. */
	get highest(): number {
		return Math.max(0, ...this.#bySecond);
	}

	/** Counts one call. */
	add(): void {
		const elapsedMs = this.#clock.monotonicMs() - this.#startMs;
		const second = Math.floor(elapsedMs / msPerSecond);
		while (this.#bySecond.length <= second) {
			this.#bySecond.push(0);
		}

		this.#bySecond[second]!++;
	}
}
