/** Limits retries to a share of the first attempts. */

const maxTokens = 10;

/** A token bucket: a first attempt adds part of a token, a retry takes one. */
export class RetryBudget {
	#share: number;
	#tokens: number;

	/**
	 * @param share - Allowed retries per first attempt, from 0 to 1.
	 */
	constructor(share: number) {
		this.#share = share;
		this.#tokens = share * maxTokens;
	}

	/**
	 * Applies the share of a new bundle.
	 *
	 * @param share - Allowed retries per first attempt, from 0 to 1.
	 */
	setShare(share: number): void {
		this.#share = share;
		this.#tokens = Math.min(this.#tokens, maxTokens);
	}

	/** Credits the budget for a first attempt. */
	addFirstAttempt(): void {
		this.#tokens = Math.min(maxTokens, this.#tokens + this.#share);
	}

	/**
	 * Takes one retry from the budget if there is one.
	 *
	 * @returns Whether the retry is allowed.
	 */
	tryTake(): boolean {
		if (this.#tokens < 1) {
			return false;
		}

		this.#tokens--;
		return true;
	}
}
