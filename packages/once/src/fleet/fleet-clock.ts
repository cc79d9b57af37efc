/** A clock that the hosts of a fleet agree on. */

/**
 * Derives fleet time from the monotonic clock and an offset that is fixed at
 * the start, so that a step of the wall clock does not change it.
 */
export class FleetClock {
	readonly #offsetMs: number;

	/**
	 * @param offsetMs - The fleet time at monotonic time 0, in milliseconds.
	 */
	constructor(offsetMs: number) {
		this.#offsetMs = offsetMs;
	}

	/**
	 * Creates a clock with the median of the offsets that hosts reported.
	 *
	 * @param offsetsMs - The offsets in milliseconds, at least one.
	 * @returns The clock.
	 */
	static fromOffsets(offsetsMs: readonly number[]): FleetClock {
		const sorted = offsetsMs.toSorted((a, b) => a - b);
		return new FleetClock(sorted[Math.floor((sorted.length - 1) / 2)]!);
	}

	/**
	 * Gets the fleet time at a monotonic time.
	 *
	 * @param monotonicMs - The monotonic time, in milliseconds.
	 * @returns Milliseconds since the Unix epoch.
	 */
	getTimeMs(monotonicMs: number): number {
		return monotonicMs + this.#offsetMs;
	}
}
