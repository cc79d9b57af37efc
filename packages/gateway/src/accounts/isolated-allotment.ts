/** What a host may admit for an account while it reaches no allotment owner. */

import type {Clock, RandomSource} from '@bilberryscale/core';

/** A window may overlap this many slots, so that each gets this part of the window's requests. */
const slotsPerWindow = 3;
/** Slots are this part of a window long. */
const slotLengthShare = 0.5;

/**
 * Draws whole requests from the host's part of the tolerance, which is mostly below one request per window. Requests
 * that are not used do not add up: after a quiet time, all isolated hosts together could otherwise admit one each at once.
 */
export class IsolatedAllotment {
	readonly #clock: Clock;
	readonly #random: RandomSource;
	#slot = -1;
	#remaining = 0;

	/**
	 * @param clock - The clock.
	 * @param random - The random source.
	 */
	constructor(clock: Clock, random: RandomSource) {
		this.#clock = clock;
		this.#random = random;
	}

	/**
	 * Takes a request from the host's part.
	 *
	 * @param perWindow - The host's part for each window.
	 * @param windowMs - The length of the window, in milliseconds.
	 * @returns Whether the request may be sent.
	 */
	take(perWindow: number, windowMs: number): boolean {
		const slot = Math.floor(
			this.#clock.monotonicMs() / (windowMs * slotLengthShare),
		);
		if (slot !== this.#slot) {
			this.#slot = slot;
			this.#remaining = Math.floor(perWindow / slotsPerWindow + this.#random());
		}

		if (this.#remaining < 1) {
			return false;
		}

		this.#remaining--;
		return true;
	}
}
