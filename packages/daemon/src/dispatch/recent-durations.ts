/** Keeps the last durations of one kind of work and gets their quantiles. */

/** How many durations are kept. */
const recentCount = 64;

/** A ring of durations. */
export class RecentDurations {
	/** In milliseconds; the oldest is overwritten. */
	readonly #samples: number[] = [];
	#nextIndex = 0;

	/**
	 * Adds a duration.
	 *
	 * @param durationMs - The duration in milliseconds.
	 */
	add(durationMs: number): void {
		this.#samples[this.#nextIndex] = durationMs;
		this.#nextIndex = (this.#nextIndex + 1) % recentCount;
	}

	/**
	 * Gets the duration within which a share of the work was done.
	 *
	 * @param share - The share, from 0 to 1.
	 * @returns The duration in milliseconds; undefined before the first one.
	 */
	getQuantileMs(share: number): number | undefined {
		const index = Math.floor(this.#samples.length * share);
		return this.#samples
			.toSorted((a, b) => a - b)
			.at(Math.min(index, this.#samples.length - 1));
	}
}
