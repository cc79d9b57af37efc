/** The tokens of one account that a host holds, and how fast it uses them. */

/** A number of tokens that expire together. */
type TokenGroup = {count: number; readonly expiresAtMs: number};

/** Time constant of the average rate, in milliseconds. */
const rateWindowMs = 1000;
/** A host asks for the tokens of this time in advance, in milliseconds. */
const leadMs = 250;
/** Upper bound on the tokens asked for in advance. */
const maxLeadTokens = 32;

/** Tokens with their expiry, and the recent rate of requests. */
export class TokenLease {
	#groups: TokenGroup[] = [];
	/** The number of recent requests, each counted less the older it is. */
	#recentCount = 0;
	#countedAtMs = 0;

	/**
	 * Counts a request.
	 *
	 * @param nowMs - The monotonic time in milliseconds.
	 */
	countRequest(nowMs: number): void {
		this.#recentCount = this.#getRecentCount(nowMs) + 1;
		this.#countedAtMs = nowMs;
	}

	/**
	 * Gets how many tokens the host would use soon beside those that it needs now.
	 *
	 * @param nowMs - The monotonic time in milliseconds.
	 * @returns The number of tokens; 0 for a rate below four requests a second.
	 */
	getLeadCount(nowMs: number): number {
		const leadCount = (this.#getRecentCount(nowMs) * leadMs) / rateWindowMs;
		return Math.min(maxLeadTokens, Math.floor(leadCount));
	}

	/**
	 * Adds tokens.
	 *
	 * @param count - The number of tokens.
	 * @param expiresAtMs - When they expire, on the monotonic clock.
	 */
	add(count: number, expiresAtMs: number): void {
		if (count > 0) {
			this.#groups.push({count, expiresAtMs});
		}
	}

	/**
	 * Takes a token.
	 *
	 * @param nowMs - The monotonic time in milliseconds.
	 * @returns When it expires, on the monotonic clock; undefined if there is none.
	 */
	take(nowMs: number): number | undefined {
		this.#groups = this.#groups.filter(
			({count, expiresAtMs}) => count > 0 && expiresAtMs > nowMs,
		);
		const [group] = this.#groups;
		if (group === undefined) {
			return undefined;
		}

		group.count--;
		return group.expiresAtMs;
	}

	#getRecentCount(nowMs: number): number {
		return (
			this.#recentCount * Math.exp((this.#countedAtMs - nowMs) / rateWindowMs)
		);
	}
}
