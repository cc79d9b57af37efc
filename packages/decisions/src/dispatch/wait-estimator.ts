/** Estimates the waiting time in a queue from its departure rate. */

/** Weight of an interval above the mean in the moving average. */
const longerIntervalWeight = 0.1;
/** Weight of an interval at or below the mean in the moving average. */
const shorterIntervalWeight = 0.3;
/** An older estimate is discarded at the start of a busy period. */
const maxEstimateAgeMs = 2000;

/**
 * Keeps a moving average of the interval between departures, that is, between
 * calls that leave the queue for a target.
 */
export class WaitEstimator {
	#meanIntervalMs: number | undefined;
	#intervalStartMs = 0;

	/**
	 * Starts the first interval of a busy period, when the queue was empty until
	 * now.
	 *
	 * @param nowMs - The monotonic time in milliseconds.
	 */
	startBusyPeriod(nowMs: number): void {
		if (nowMs - this.#intervalStartMs > maxEstimateAgeMs) {
			this.#meanIntervalMs = undefined;
		}

		this.#intervalStartMs = nowMs;
	}

	/**
	 * Records that a call left the queue for a target.
	 *
	 * @param nowMs - The monotonic time in milliseconds.
	 */
	addDeparture(nowMs: number): void {
		const intervalMs = nowMs - this.#intervalStartMs;
		const previousMeanMs = this.#meanIntervalMs ?? intervalMs;
		const weight =
			intervalMs > previousMeanMs
				? longerIntervalWeight
				: shorterIntervalWeight;
		this.#meanIntervalMs =
			previousMeanMs + weight * (intervalMs - previousMeanMs);
		this.#intervalStartMs = nowMs;
	}

	/**
	 * Predicts how long a new call will wait.
	 *
	 * @param callsAhead - The number of calls that will be served before it.
	 * @param nowMs - The monotonic time in milliseconds.
	 * @returns The wait in milliseconds; 0 while there is no estimate.
	 */
	predictWaitMs(callsAhead: number, nowMs: number): number {
		if (this.#meanIntervalMs === undefined) {
			return 0;
		}

		return Math.max(
			(callsAhead + 1) * this.#meanIntervalMs,
			nowMs - this.#intervalStartMs,
		);
	}
}
