/** Counts calls by the second in which they came. */

import type {Clock} from '@bilberryscale/core';

const msPerSecond = 1000;

/** The counts of a run. */
export class CallCounter {
	readonly #clock: Clock;
	readonly #startMs: number;
	readonly #countsBySecond: number[] = [];

	/**
	 * @param clock - The clock.
	 */
	constructor(clock: Clock) {
		this.#clock = clock;
		this.#startMs = clock.monotonicMs();
	}

	/** Gets the number of all calls. */
	get total(): number {
		return this.#countsBySecond.reduce((sum, count) => sum + count, 0);
	}

	/** Gets the number of calls in the second that had the most. */
	get maxPerSecond(): number {
		return Math.max(0, ...this.#countsBySecond);
	}

	/** Counts one call. */
	add(): void {
		const elapsedMs = this.#clock.monotonicMs() - this.#startMs;
		const second = Math.floor(elapsedMs / msPerSecond);
		while (this.#countsBySecond.length <= second) {
			this.#countsBySecond.push(0);
		}

		this.#countsBySecond[second]!++;
	}
}
