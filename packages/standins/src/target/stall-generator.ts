/** Generates random stalls of a target. */

import type {Clock, RandomSource} from '@bilberryscale/core';
import type {StallPattern} from './target-behaviour.js';

const msPerSecond = 1000;

/** A Poisson process of stalls, whose lengths are uniformly distributed. */
export class StallGenerator {
	readonly #clock: Clock;
	readonly #random: RandomSource;
	#pattern: StallPattern | undefined;
	#nextStallAtMs = 0;
	#stallEndsAtMs = 0;

	/**
	 * @param clock - Tells when a stall starts and ends.
	 * @param random - The source of random intervals and lengths.
	 */
	constructor(clock: Clock, random: RandomSource) {
		this.#clock = clock;
		this.#random = random;
	}

	/**
	 * Replaces the stall pattern and ends a current stall.
	 *
	 * @param pattern - The pattern; undefined for no stalls.
	 */
	setPattern(pattern: StallPattern | undefined): void {
		this.#pattern = pattern;
		this.#stallEndsAtMs = 0;
		this.#nextStallAtMs = this.#clock.monotonicMs() + this.#drawIntervalMs();
	}

	/**
	 * Gets the remaining time of the current stall.
	 *
	 * @returns The time in milliseconds; 0 if the target does not stall.
	 */
	getRemainingMs(): number {
		const nowMs = this.#clock.monotonicMs();
		while (this.#pattern !== undefined && this.#nextStallAtMs <= nowMs) {
			const {shortestMs, longestMs} = this.#pattern;
			const durationMs = shortestMs + this.#random() * (longestMs - shortestMs);
			this.#stallEndsAtMs = Math.max(
				this.#stallEndsAtMs,
				this.#nextStallAtMs + durationMs,
			);
			this.#nextStallAtMs += this.#drawIntervalMs();
		}

		return Math.max(0, this.#stallEndsAtMs - nowMs);
	}

	#drawIntervalMs(): number {
		const perSecond = this.#pattern?.perSecond ?? 0;
		return (-Math.log(1 - this.#random()) * msPerSecond) / perSecond;
	}
}
