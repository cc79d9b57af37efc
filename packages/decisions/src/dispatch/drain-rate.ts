/** Learns how fast a queue moves. */

const slowerWeight = 0.1;
const fasterWeight = 0.3;
const memoryMs = 2000;

/** The mean time between two calls that leave the queue for a target. */
export class DrainRate {
	#gapMs: number | undefined;
	#lastMs = 0;

	/**
	 * Takes in that the queue was empty until now.
	 *
	 * @param nowMs - The monotonic time in milliseconds.
	 */
	restart(nowMs: number): void {
		if (nowMs - this.#lastMs > memoryMs) {
			this.#gapMs = undefined;
		}

		this.#lastMs = nowMs;
	}

	/**
	 * Takes in that a call left the queue for a target.
	 *
	 * @param nowMs - The monotonic time in milliseconds.
	 */
	addDeparture(nowMs: number): void {
		const sampleMs = nowMs - this.#lastMs;
		const formerMs = this.#gapMs ?? sampleMs;
		const weight = sampleMs > formerMs ? slowerWeight : fasterWeight;
		this.#gapMs = formerMs + weight * (sampleMs - formerMs);
		this.#lastMs = nowMs;
	}

	/**
	 * Predicts how long a call will wait.
	 *
	 * @param ahead - How many calls go before it.
	 * @param nowMs - The monotonic time in milliseconds.
	 * @returns The wait in milliseconds; 0 while nothing is known.
	 */
	predictWaitMs(ahead: number, nowMs: number): number {
		if (this.#gapMs === undefined) {
			return 0;
		}

		return Math.max((ahead + 1) * this.#gapMs, nowMs - this.#lastMs);
	}
}
