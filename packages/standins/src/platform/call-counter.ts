/** Counts calls per second. */

import type {Clock} from '@bilberryscale/core';

const msPerSecond = 1000;

/** The number of calls in each second since the creation of the counter. */
export class CallCounter {
	readonly #clock: Clock;
	readonly #startMs: number;
	readonly #countsBySecond: number[] = [];

	/**
	 * @param clock - Assigns calls to seconds.
	 */
	constructor(clock: Clock) {
		this.#clock = clock;
		this.#startMs = clock.monotonicMs();
	}

	/** Gets the total number of calls. */
	get total(): number {
		return this.#countsBySecond.reduce((sum, count) => sum + count, 0);
	}

	/** Gets the maximum number of calls in one second. */
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
