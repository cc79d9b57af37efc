/** Random stalls of a target. */

import type {Clock, RandomSource} from '@bilberryscale/core';
import type {StallPattern} from './target-behaviour.js';

const msPerSecond = 1000;

/** Knows until when a target stalls, from a seeded sequence. */
export class StallGenerator {
	readonly #clock: Clock;
	readonly #random: RandomSource;
	#pattern: StallPattern | undefined;
	#nextStallAtMs = 0;
	#stallEndsAtMs = 0;

	/**
	 * @param clock - The clock.
	 * @param random - Draws the times and lengths.
	 */
	constructor(clock: Clock, random: RandomSource) {
		this.#clock = clock;
		this.#random = random;
	}

	/**
	 * Sets the pattern.
	 *
	 * @param pattern - The pattern; undefined for no stalls.
	 */
	setPattern(pattern: StallPattern | undefined): void {
		this.#pattern = pattern;
		this.#stallEndsAtMs = 0;
		this.#nextStallAtMs = this.#clock.monotonicMs() + this.#drawIntervalMs();
	}

	/**
	 * Gets how long the target still stalls.
	 *
	 * @returns Milliseconds; 0 if it does not.
	 */
	getRemainingMs(): number {
		const nowMs = this.#clock.monotonicMs();
		while (this.#pattern !== undefined && this.#nextStallAtMs <= nowMs) {
			const {shortestMs, longestMs} = this.#pattern;
			const durationMs = shortestMs + this.#random() * (longestMs - shortestMs);
			this.#stallEndsAtMs = Math.max(this.#stallEndsAtMs, this.#nextStallAtMs + durationMs);
			this.#nextStallAtMs += this.#drawIntervalMs();
		}

		return Math.max(0, this.#stallEndsAtMs - nowMs);
	}

	#drawIntervalMs(): number {
		const perSecond = this.#pattern?.perSecond ?? 0;
		return (-Math.log(1 - this.#random()) * msPerSecond) / perSecond;
	}
}
