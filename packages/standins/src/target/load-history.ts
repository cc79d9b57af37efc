/** The load of a target as it was some time ago. */

import type {Clock} from '@bilberryscale/core';

type Sample = {
	readonly atMs: number;
	readonly inFlight: number;
};

const maxLagMs = 30_000;
const maxSamples = 20_000;

/** Keeps each change of the load for a while. */
export class LoadHistory {
	readonly #clock: Clock;
	#samples: Sample[] = [];

	/**
	 * @param clock - The clock.
	 */
	constructor(clock: Clock) {
		this.#clock = clock;
	}

	/**
	 * Takes in a change.
	 *
	 * @param inFlight - The load from now on.
	 */
	add(inFlight: number): void {
		this.#samples.push({atMs: this.#clock.monotonicMs(), inFlight});
		if (this.#samples.length > maxSamples) {
			this.#evictOldSamples();
		}
	}

	/**
	 * Gets the load as it was.
	 *
	 * @param lagMs - How long ago, in milliseconds.
	 * @returns The load; 0 before the first change.
	 */
	get(lagMs: number): number {
		const requestedAtMs = this.#clock.monotonicMs() - lagMs;
		return (
			this.#samples.findLast(({atMs}) => atMs <= requestedAtMs)?.inFlight ?? 0
		);
	}

	#evictOldSamples(): void {
		const minAtMs = this.#clock.monotonicMs() - maxLagMs;
		this.#samples = this.#samples
			.filter(({atMs}) => atMs >= minAtMs)
			.slice(-maxSamples / 2);
	}
}
