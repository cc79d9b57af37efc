/** Measures the rate of events with a weight that decays over time. */

/** Time constant of the decay, in milliseconds; long enough for some events at a host with two a second. */
const decayMs = 2000;
/** Assumed time of observation just after the start, in milliseconds, so that one event is no high rate. */
const minObservedMs = 250;
const msPerSecond = 1000;

/** A rate of events, in which older ones count less. */
export class DecayingRate {
	readonly #startedAtMs: number;
	#weight = 0;
	#decayedAtMs: number;

	/**
	 * @param nowMs - The monotonic time from which events are counted, in milliseconds.
	 */
	constructor(nowMs: number) {
		this.#startedAtMs = nowMs;
		this.#decayedAtMs = nowMs;
	}

	/**
	 * Counts an event.
	 *
	 * @param nowMs - The monotonic time in milliseconds.
	 */
	add(nowMs: number): void {
		this.#decay(nowMs);
		this.#weight++;
	}

	/**
	 * Gets how many events still count.
	 *
	 * @param nowMs - The monotonic time in milliseconds.
	 * @returns The sum of their weights; an event of this moment counts 1.
	 */
	getWeight(nowMs: number): number {
		this.#decay(nowMs);
		return this.#weight;
	}

	/**
	 * Gets the rate.
	 *
	 * @param nowMs - The monotonic time in milliseconds.
	 * @returns Events per second; unbiased also shortly after the start.
	 */
	getPerSecond(nowMs: number): number {
		const observedMs = Math.max(minObservedMs, nowMs - this.#startedAtMs);
		const observedWeightMs = decayMs * (1 - Math.exp(-observedMs / decayMs));
		return (this.getWeight(nowMs) / observedWeightMs) * msPerSecond;
	}

	#decay(nowMs: number): void {
		this.#weight *= Math.exp((this.#decayedAtMs - nowMs) / decayMs);
		this.#decayedAtMs = nowMs;
	}
}
