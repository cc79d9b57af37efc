/** Records a target's recent load, so that load reports can be out of date. */

import type {Clock} from '@bilberryscale/core';

type Sample = {
	readonly atMs: number;
	readonly inFlight: number;
};

const maxLagMs = 30_000;
const maxSamples = 20_000;

/** The load of a target over time. */
export class LoadHistory {
	readonly #clock: Clock;
	#samples: Sample[] = [];

	/**
	 * @param clock - Timestamps the samples.
	 */
	constructor(clock: Clock) {
		this.#clock = clock;
	}

	/**
	 * Records a change of the load.
	 *
	 * @param inFlight - The new number of running and queued requests.
	 */
	add(inFlight: number): void {
		this.#samples.push({atMs: this.#clock.monotonicMs(), inFlight});
		if (this.#samples.length > maxSamples) {
			this.#evictOldSamples();
		}
	}

	/**
	 * Gets the load at an earlier time.
	 *
	 * @param lagMs - How long ago, in milliseconds.
	 * @returns The number of requests in flight; 0 before the first sample.
	 */
	get(lagMs: number): number {
		const requestedAtMs = this.#clock.monotonicMs() - lagMs;
		return (
			this.#samples.findLast(({atMs}) => atMs <= requestedAtMs)?.inFlight ?? 0
		);
	}

	#evictOldSamples(): void {
		const oldestAtMs = this.#clock.monotonicMs() - maxLagMs;
		this.#samples = this.#samples
			.filter(({atMs}) => atMs >= oldestAtMs)
			.slice(-maxSamples / 2);
	}
}
