/** The tokens of one account that a host holds, and how fast it uses them. */

/** The permission to send one request. */
export type Token = {
	/** When it expires, on the monotonic clock; infinity if no host has granted it. */
	readonly expiresAtMs: number;
	/** The host that has granted it and gets it back if it is not used; undefined if none has. */
	readonly grantor: string | undefined;
};

/** A number of tokens of one grant. */
type TokenGroup = {count: number; readonly token: Token};

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
	 * @param token - What is the same for all of them.
	 */
	add(count: number, token: Token): void {
		if (count > 0) {
			this.#groups.push({count, token});
		}
	}

	/**
	 * Takes a token.
	 *
	 * @param nowMs - The monotonic time in milliseconds.
	 * @returns The token; undefined if there is none.
	 */
	take(nowMs: number): Token | undefined {
		this.#groups = this.#groups.filter(
			({count, token}) => count > 0 && token.expiresAtMs > nowMs,
		);
		const [group] = this.#groups;
		if (group === undefined) {
			return undefined;
		}

		group.count--;
		return group.token;
	}

	#getRecentCount(nowMs: number): number {
		return (
			this.#recentCount * Math.exp((this.#countedAtMs - nowMs) / rateWindowMs)
		);
	}
}
