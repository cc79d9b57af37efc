/** Limits hedges to a share of the requests of a service over all hosts. */

import type {RandomSource} from '@bilberryscale/core';

/** The limit and the source of the offset by which hosts differ. */
export type HedgeBudgetOptions = {
	/** Hedges allowed as a share of the requests of the service, from 0 to 1. */
	readonly limit: number;
	readonly random: RandomSource;
};

/** How long a permit can be used, in milliseconds; the window in which the limit holds is as long. */
const permitTtlMs = 10_000;
/**
 * Share of the limit for which permits are issued. All permits of two windows can be used
 * within one, if all hosts find requests slow at once, so it must be below a half; the rest
 * allows for hosts that by chance issue their permits at the same time.
 */
const issuedShare = 0.35;

/**
 * Issues one permit for so many requests of this host. The first one is due after a random part of
 * them, so that hosts with few requests do not issue all at once and the sum over any number of
 * hosts follows the sum of their requests without any message.
 */
export class HedgeBudget {
	readonly #limit: number;
	/** Until when each permit can be used, on the monotonic clock, in milliseconds. */
	#permits: number[] = [];
	/** The part of the next permit that is due, from 0 to 1. */
	#credit: number;

	/**
	 * @param options - The limit and the random source.
	 */
	constructor({limit, random}: HedgeBudgetOptions) {
		this.#limit = limit;
		this.#credit = random();
	}

	/**
	 * Counts a request, however often it is sent.
	 *
	 * @param nowMs - The monotonic time in milliseconds.
	 */
	addRequest(nowMs: number): void {
		this.#credit += issuedShare * this.#limit;
		if (this.#credit >= 1) {
			this.#credit--;
			this.#dropExpired(nowMs);
			this.#permits.push(nowMs + permitTtlMs);
		}
	}

	/**
	 * Checks whether a hedge is allowed.
	 *
	 * @param nowMs - The monotonic time in milliseconds.
	 * @returns Whether {@link take} would allow it now.
	 */
	canTake(nowMs: number): boolean {
		this.#dropExpired(nowMs);
		return this.#permits.length > 0;
	}

	/**
	 * Takes a hedge out of the budget.
	 *
	 * @param nowMs - The monotonic time in milliseconds.
	 * @returns Whether the hedge is allowed.
	 */
	take(nowMs: number): boolean {
		this.#dropExpired(nowMs);
		return this.#permits.shift() !== undefined;
	}

	#dropExpired(nowMs: number): void {
		this.#permits = this.#permits.filter((untilMs) => untilMs > nowMs);
	}
}
