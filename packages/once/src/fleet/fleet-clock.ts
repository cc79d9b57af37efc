/** The time that the hosts of a fleet agree on. */

/**
 * Fleet time is the monotonic clock and an offset that is fixed at the start;
 * a step of the wall clock does not change it.
 */
export class FleetClock {
	readonly #offsetMs: number;

	/**
	 * @param offsetMs - The fleet time at monotonic zero.
	 */
	constructor(offsetMs: number) {
		this.#offsetMs = offsetMs;
	}

	/**
	 * Makes the clock from what hosts reported, the median of their offsets.
	 *
	 * @param offsetsMs - The offsets, at least one.
	 * @returns The clock.
	 */
	static fromOffsets(offsetsMs: readonly number[]): FleetClock {
		const sorted = offsetsMs.toSorted((a, b) => a - b);
		return new FleetClock(sorted[Math.floor((sorted.length - 1) / 2)]!);
	}

	/**
	 * Gets the fleet time.
	 *
	 * @param monotonicMs - The monotonic time.
	 * @returns Milliseconds since the Unix epoch.
	 */
	getTimeMs(monotonicMs: number): number {
		return monotonicMs + this.#offsetMs;
	}
}
