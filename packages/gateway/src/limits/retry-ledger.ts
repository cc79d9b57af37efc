/** Balances what a host has earned and spent of the retry budget over a sliding window. */

type Interval = {
	/** Spent minus earned, without what was still under way. */
	readonly balance: number;
	/** When the interval ended, on the monotonic clock; infinite for the current one. */
	untilMs: number;
};

type Spending = {
	readonly amount: number;
	/** By when it has reached a target, on the monotonic clock. */
	readonly arrivesByMs: number;
};

/** How long after it was taken a retry, or a loan, may reach a target, in milliseconds. */
const transitMs = 250;

/**
 * Keeps, for each moment at which a window may start, what was spent since minus
 * what was earned since. If that stays within a part for every host and every
 * start, the sum over all hosts stays within the sum of the parts and of what was
 * earned in any window, whichever hosts the requests came to.
 */
export class RetryLedger {
	/** Spent minus earned since the start. */
	#balance = 0;
	/** Those that may hold the lowest balance of a window, oldest first; each has a higher balance than the one before. */
	#intervals: Interval[] = [{balance: 0, untilMs: Number.POSITIVE_INFINITY}];

	/** What may not have taken effect yet, oldest first. */
	readonly #underWay: Spending[] = [];

	/** Gets what was earned since the start minus what was spent; negative if more was spent. */
	get net(): number {
		return -this.#balance;
	}

	/**
	 * Adds what was earned.
	 *
	 * @param amount - The amount, in retries.
	 * @param nowMs - The monotonic time in milliseconds.
	 */
	earn(amount: number, nowMs: number): void {
		this.#settle(nowMs);
		this.#balance -= amount;
		this.#addInterval(nowMs);
	}

	/**
	 * Adds what was spent.
	 *
	 * @param amount - The amount, in retries.
	 * @param nowMs - The monotonic time in milliseconds.
	 */
	spend(amount: number, nowMs: number): void {
		this.#settle(nowMs);
		this.#balance += amount;
		this.#underWay.push({amount, arrivesByMs: nowMs + transitMs});
		this.#addInterval(nowMs);
	}

	/**
	 * Takes back what was spent, as it was not sent.
	 *
	 * @param amount - The amount, in retries.
	 * @param spentAtMs - When it was spent, on the monotonic clock, in milliseconds.
	 * @param nowMs - The monotonic time in milliseconds.
	 */
	takeBack(amount: number, spentAtMs: number, nowMs: number): void {
		this.#settle(nowMs);
		const index = this.#underWay.findIndex(
			({arrivesByMs}) => arrivesByMs === spentAtMs + transitMs,
		);
		if (index !== -1) {
			this.#underWay.splice(index, 1);
		}

		this.#balance -= amount;
		this.#addInterval(nowMs);
	}

	/**
	 * Gets the most that was spent beyond what was earned since any moment of a window.
	 *
	 * @param nowMs - The end of the window, on the monotonic clock, in milliseconds.
	 * @param windowMs - The length of the window in milliseconds.
	 * @returns The amount, in retries; at least 0.
	 */
	getDebt(nowMs: number, windowMs: number): number {
		this.#settle(nowMs);
		while (this.#intervals[0]!.untilMs <= nowMs - windowMs) {
			this.#intervals.shift();
		}

		return this.#balance - this.#intervals[0]!.balance;
	}

	/** Counts what has certainly arrived by now, so that windows that start later are free of it. */
	#settle(nowMs: number): void {
		for (;;) {
			const next = this.#underWay[0];
			if (next === undefined || next.arrivesByMs > nowMs) {
				return;
			}

			this.#underWay.shift();
			this.#addInterval(next.arrivesByMs);
		}
	}

	/** Starts an interval with the current balance. */
	#addInterval(fromMs: number): void {
		const underWay = this.#underWay.reduce((sum, {amount}) => sum + amount, 0);
		const balance = this.#balance - underWay;
		this.#intervals.at(-1)!.untilMs = fromMs;
		this.#intervals = this.#intervals.filter((item) => item.balance < balance);
		this.#intervals.push({balance, untilMs: Number.POSITIVE_INFINITY});
	}
}
