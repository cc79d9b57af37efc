/** A moving average over time that fades when nothing new is observed. */

/** How fast an average follows observations and how long it stays valid. */
export type DecayingAverageOptions = {
	/** Time constant with which it follows observations, in milliseconds. */
	readonly timeConstantMs: number;
	/** Age of the last observation up to which it holds its value, in milliseconds. */
	readonly holdMs: number;
	/** Time constant of the decay to 0 after that, in milliseconds. */
	readonly decayMs: number;
};

/**
 * Averages values from 0 upwards. Observations that are far apart weigh nearly
 * full, those in quick succession little, so that hosts with few and with many
 * requests follow a change in about the same time.
 */
export class DecayingAverage {
	readonly #options: DecayingAverageOptions;
	#value = 0;
	#observedAtMs = Number.NEGATIVE_INFINITY;

	/**
	 * @param options - The time constants.
	 */
	constructor(options: DecayingAverageOptions) {
		this.#options = options;
	}

	/**
	 * Adds an observation.
	 *
	 * @param value - The observed value.
	 * @param nowMs - The monotonic time in milliseconds.
	 */
	add(value: number, nowMs: number): void {
		const ageMs = this.getAgeMs(nowMs);
		const weight = 1 - Math.exp(-ageMs / this.#options.timeConstantMs);
		const current = this.get(nowMs);
		this.#value = current + weight * (value - current);
		this.#observedAtMs = nowMs;
	}

	/**
	 * Gets the average.
	 *
	 * @param nowMs - The monotonic time in milliseconds.
	 * @returns The average; 0 before the first observation and long after the last one.
	 */
	get(nowMs: number): number {
		const {holdMs, decayMs} = this.#options;
		const excessMs = this.getAgeMs(nowMs) - holdMs;
		return excessMs <= 0
			? this.#value
			: this.#value * Math.exp(-excessMs / decayMs);
	}

	/**
	 * Gets the age of the last observation.
	 *
	 * @param nowMs - The monotonic time in milliseconds.
	 * @returns The age in milliseconds; infinite before the first observation.
	 */
	getAgeMs(nowMs: number): number {
		return nowMs - this.#observedAtMs;
	}
}
