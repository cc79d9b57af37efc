/** Limits the retries of requests to a service. */

/** The limit for all hosts together. */
export type RetryBudgetLimit = {
	/** Retries allowed as a share of the requests, from 0 to 1. */
	readonly ratio: number;
	/** Retries allowed per window in addition, whatever the number of requests. */
	readonly slack: number;
	/** The length of the sliding window, in milliseconds. */
	readonly windowMs: number;
};

/** What a host allows, knows and has used of the limit, for its log. */
export type RetryBudgetState = {
	/** Retries that this host allows itself in the window. */
	readonly allowed: number;
	/** Retries that it has sent in the window. */
	readonly used: number;
	/** Requests that it has counted in the window. */
	readonly requests: number;
	/** The number of hosts among which it divides the limit. */
	readonly hosts: number;
};

/** Share of the limit that is left unused, because a host's count of hosts lags behind changes. */
const unusedShare = 0.25;
const bucketCount = 10;

/** Counts this host's requests and retries for one service in a sliding window. */
export class RetryBudget {
	readonly #getLimit: () => RetryBudgetLimit;
	readonly #getHostCount: () => number;
	readonly #requests: number[] = Array.from({length: bucketCount}, () => 0);
	readonly #retries: number[] = Array.from({length: bucketCount}, () => 0);
	/** The number of the current bucket, counted from time 0; its index is the remainder modulo the bucket count. */
	#bucket = 0;
	#windowMs: number;

	/**
	 * @param getLimit - Gets the limit for all hosts together.
	 * @param getHostCount - Gets the number of hosts that share the limit.
	 */
	constructor(getLimit: () => RetryBudgetLimit, getHostCount: () => number) {
		this.#getLimit = getLimit;
		this.#windowMs = getLimit().windowMs;
		this.#getHostCount = getHostCount;
	}

	/**
	 * Counts a request, however often it is sent.
	 *
	 * @param nowMs - The monotonic time in milliseconds.
	 */
	addRequest(nowMs: number): void {
		this.#advance(nowMs);
		this.#requests[this.#bucket % bucketCount]!++;
	}

	/**
	 * Takes a retry out of the budget.
	 *
	 * @param nowMs - The monotonic time in milliseconds.
	 * @param reservedShare - The share of the budget that must stay free for other requests, from 0 to 1.
	 * @returns Whether the retry is allowed.
	 */
	take(nowMs: number, reservedShare = 0): boolean {
		if (!this.canTake(nowMs, reservedShare)) {
			return false;
		}

		this.#retries[this.#bucket % bucketCount]!++;
		return true;
	}

	/**
	 * Checks whether a retry is allowed.
	 *
	 * @param nowMs - The monotonic time in milliseconds.
	 * @param reservedShare - The share of the budget that must stay free for other requests, from 0 to 1.
	 * @returns Whether {@link take} would allow it now.
	 */
	canTake(nowMs: number, reservedShare = 0): boolean {
		const {allowed, used} = this.getState(nowMs);
		return used + 1 <= (1 - reservedShare) * allowed;
	}

	/**
	 * Gets what the budget allows and by which figures.
	 *
	 * @param nowMs - The monotonic time in milliseconds.
	 * @returns The state of the window that ends now.
	 */
	getState(nowMs: number): RetryBudgetState {
		this.#advance(nowMs);
		const {ratio, slack} = this.#getLimit();
		const requests = sum(this.#requests);
		const hosts = this.#getHostCount();
		return {
			allowed: (1 - unusedShare) * (ratio * requests + slack / hosts),
			used: sum(this.#retries),
			requests,
			hosts,
		};
	}

	#advance(nowMs: number): void {
		const {windowMs} = this.#getLimit();
		const current = Math.floor(nowMs / (windowMs / bucketCount));
		if (windowMs !== this.#windowMs) {
			this.#windowMs = windowMs;
			this.#moveAllInto(current);
		}

		const firstStale = Math.max(this.#bucket + 1, current - bucketCount + 1);
		for (let bucket = firstStale; bucket <= current; bucket++) {
			this.#requests[bucket % bucketCount] = 0;
			this.#retries[bucket % bucketCount] = 0;
		}

		this.#bucket = Math.max(this.#bucket, current);
	}

	/** Moves all counts to the current bucket, because the buckets have another length after a change of the window. */
	#moveAllInto(bucket: number): void {
		const requests = sum(this.#requests);
		const retries = sum(this.#retries);
		this.#requests.fill(0);
		this.#retries.fill(0);
		this.#bucket = bucket;
		this.#requests[bucket % bucketCount] = requests;
		this.#retries[bucket % bucketCount] = retries;
	}
}

function sum(values: readonly number[]): number {
	return values.reduce((total, value) => total + value, 0);
}
