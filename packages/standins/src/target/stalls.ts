/** Random stalls of a target. */

import type {Clock, RandomSource} from '@bilberryscale/core';
import type {StallPattern} from './behaviour.js';

const msPerSecond = 1000;

/** Knows until when a target stalls, from a seeded sequence. */
export class Stalls {
	readonly #clock: Clock;
	readonly #random: RandomSource;
	#pattern: StallPattern | undefined;
	#nextAtMs = 0;
	#endsAtMs = 0;

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
		this.#endsAtMs = 0;
		this.#nextAtMs = this.#clock.monotonicMs() + this.#drawGapMs();
	}

	/**
	 * Gets how long the target still stalls.
	 *
	 * @returns Milliseconds; 0 if it does not.
	 */
	getRemainingMs(): number {
		const nowMs = this.#clock.monotonicMs();
		while (this.#pattern !== undefined && this.#nextAtMs <= nowMs) {
			const {shortestMs, longestMs} = this.#pattern;
			const lengthMs = shortestMs + this.#random() * (longestMs - shortestMs);
			this.#endsAtMs = Math.max(this.#endsAtMs, this.#nextAtMs + lengthMs);
			this.#nextAtMs += this.#drawGapMs();
		}

		return Math.max(0, this.#endsAtMs - nowMs);
	}

	#drawGapMs(): number {
		const perSecond = this.#pattern?.perSecond ?? 0;
		return (-Math.log(1 - this.#random()) * msPerSecond) / perSecond;
	}
}
