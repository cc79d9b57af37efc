/** Bounds retries to a share of the traffic. */

const burst = 10;

/** A token bucket that first sends fill and further sends empty. */
export class RetryBudget {
	#share: number;
	#tokens: number;

	/**
	 * @param share - Further sends as a share of first sends, from 0 to 1.
	 */
	constructor(share: number) {
		this.#share = share;
		this.#tokens = share * burst;
	}

	/**
	 * Takes over what a new bundle says.
	 *
	 * @param share - Further sends as a share of first sends, from 0 to 1.
	 */
	setShare(share: number): void {
		this.#share = share;
		this.#tokens = Math.min(this.#tokens, burst);
	}

	/** Counts a first send. */
	addFirstSend(): void {
		this.#tokens = Math.min(burst, this.#tokens + this.#share);
	}

	/**
	 * Takes a further send out of the budget.
	 *
	 * @returns Whether there was one left.
	 */
	take(): boolean {
		if (this.#tokens < 1) {
			return false;
		}

		this.#tokens--;
		return true;
	}
}
