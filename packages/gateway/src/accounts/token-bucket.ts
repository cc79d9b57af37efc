/** A token bucket that also tells refused requests when to return. */

/** The limit and the start of a bucket. */
export type TokenBucketOptions = {
	readonly ratePerSecond: number;
	readonly burst: number;
	/** The number of tokens at the start. */
	readonly level: number;
	/** The monotonic time of the start, in milliseconds. */
	readonly nowMs: number;
};

/** A grant may exceed what is needed at once only while this share of the burst remains for other hosts. */
const reservedShare = 0.5;
/** Maximum time until a refused request returns, in milliseconds; callers rarely wait longer. */
const maxReturnMs = 1000;
const msPerSecond = 1000;
/** Makes up for the rounding of times, so that a token is there when a request returns for it. */
const roundingTolerance = 1e-6;

/** Grants `burst` tokens at once and `ratePerSecond` tokens per second after that. */
export class TokenBucket {
	#ratePerSecond: number;
	#capacity: number;
	#level: number;
	#updatedAtMs: number;
	/** The return time that the last refused request was given. */
	#lastReturnAtMs = Number.NEGATIVE_INFINITY;

	/**
	 * @param options - The limit and the start.
	 */
	constructor({ratePerSecond, burst, level, nowMs}: TokenBucketOptions) {
		this.#ratePerSecond = ratePerSecond;
		this.#capacity = getCapacity(burst);
		this.#level = Math.min(level, this.#capacity);
		this.#updatedAtMs = nowMs;
	}

	/**
	 * Changes the limit from now on.
	 *
	 * @param ratePerSecond - Tokens per second.
	 * @param burst - Tokens at once.
	 * @param nowMs - The monotonic time in milliseconds.
	 */
	configure(ratePerSecond: number, burst: number, nowMs: number): void {
		this.#refill(nowMs);
		this.#ratePerSecond = ratePerSecond;
		this.#capacity = getCapacity(burst);
		this.#level = Math.min(this.#level, this.#capacity);
	}

	/**
	 * Takes tokens.
	 *
	 * @param needed - How many requests wait for a token.
	 * @param wanted - How many tokens the host would use soon; at least `needed`.
	 * @param nowMs - The monotonic time in milliseconds.
	 * @returns The number of tokens; 0 if there is none.
	 */
	take(needed: number, wanted: number, nowMs: number): number {
		this.#refill(nowMs);
		const available = Math.floor(this.#level + roundingTolerance);
		const spare = Math.floor(this.#level - reservedShare * this.#capacity);
		const granted = Math.min(
			available,
			Math.max(needed, Math.min(wanted, spare)),
		);
		this.#level -= granted;
		return granted;
	}

	/**
	 * Puts back tokens whose requests certainly have not run.
	 *
	 * @param count - The number of tokens.
	 */
	giveBack(count: number): void {
		this.#level = Math.min(this.#capacity, this.#level + count);
	}

	/**
	 * Gets the time until a token can be taken.
	 *
	 * @param nowMs - The monotonic time in milliseconds.
	 * @returns The time in milliseconds; infinite if the rate is 0 and there is none.
	 */
	getWaitMs(nowMs: number): number {
		this.#refill(nowMs);
		const missing = 1 - this.#level;
		return missing <= roundingTolerance
			? 0
			: (missing * msPerSecond) / this.#ratePerSecond;
	}

	/**
	 * Gets when a refused request should return. Each gets the time of a token of
	 * its own, so that refused requests do not all return for the next one.
	 *
	 * @param nowMs - The monotonic time in milliseconds.
	 * @returns The time until then, in milliseconds.
	 */
	reserveReturnMs(nowMs: number): number {
		this.#refill(nowMs);
		if (this.#ratePerSecond <= 0) {
			return maxReturnMs;
		}

		const intervalMs = msPerSecond / this.#ratePerSecond;
		const nextTokenAtMs = nowMs + Math.max(0, 1 - this.#level) * intervalMs;
		const returnAtMs = Math.max(
			nextTokenAtMs,
			this.#lastReturnAtMs + intervalMs,
		);
		this.#lastReturnAtMs = Math.min(returnAtMs, nowMs + maxReturnMs);
		return this.#lastReturnAtMs - nowMs;
	}

	#refill(nowMs: number): void {
		const elapsedMs = Math.max(0, nowMs - this.#updatedAtMs);
		this.#updatedAtMs = Math.max(nowMs, this.#updatedAtMs);
		this.#level = Math.min(
			this.#capacity,
			this.#level + (elapsedMs * this.#ratePerSecond) / msPerSecond,
		);
	}
}

/** A bucket that holds less than one token would never grant any. */
function getCapacity(burst: number): number {
	return Math.max(1, burst);
}
