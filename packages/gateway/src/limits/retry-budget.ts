/** Limits the retries of requests to a service, for all hosts together. */

import {RetryLedger} from './retry-ledger.js';
import type {RetryPart} from './retry-part.js';

/** The limit for all hosts together. */
export type RetryBudgetLimit = {
	/** Retries allowed as a share of the requests, from 0 to 1. */
	readonly ratio: number;
	/** Retries allowed per window in addition, whatever the number of requests. */
	readonly slack: number;
	/** The length of the sliding window, in milliseconds. */
	readonly windowMs: number;
};

/** What a host may spend, for its log. */
export type RetryBudgetState = RetryPart & {
	/** Retries that this host may send now. */
	readonly tokens: number;
	/** The most that it may save up. */
	readonly capacity: number;
};

/** The limit and this host's part of it. */
export type RetryBudgetOptions = {
	/** Gets the limit for all hosts together. */
	readonly getLimit: () => RetryBudgetLimit;
	/** Gets this host's part of the slack. */
	readonly getPart: (windowMs: number) => RetryPart;
};

/** The most that a host may save up which has no part of the slack. */
const maxEarnedTokens = 1;
/** Sums of fractions may miss a whole number by less. */
const tolerance = 1e-6;

/**
 * A token bucket that each request fills by the ratio and that regains what was
 * spent when a window has passed. Its capacity is this host's part of the slack,
 * so that the buckets of all hosts together never hold more than the slack. Hosts
 * lend each other tokens.
 */
export class RetryBudget {
	readonly #options: RetryBudgetOptions;
	readonly #ledger = new RetryLedger();

	/**
	 * @param options - The limit and this host's part of it.
	 */
	constructor(options: RetryBudgetOptions) {
		this.#options = options;
	}

	/**
	 * Counts a request, however often it is sent; a request that is forwarded counts at one host only.
	 *
	 * @param nowMs - The monotonic time in milliseconds.
	 */
	addRequest(nowMs: number): void {
		this.#ledger.earn(this.#options.getLimit().ratio, nowMs);
	}

	/**
	 * Takes a retry out of the budget.
	 *
	 * @param nowMs - The monotonic time in milliseconds.
	 * @param reservedShare - The share of the capacity beyond one retry that must stay free for other requests, from 0 to 1.
	 * @param loan - Tokens that other hosts have just given for it. What is left of them is added to the budget.
	 * @returns Whether the retry is allowed.
	 */
	take(nowMs: number, reservedShare = 0, loan = 0): boolean {
		const missing = this.getMissing(nowMs, reservedShare);
		if (missing > loan + tolerance) {
			this.#ledger.earn(loan, nowMs);
			return false;
		}

		// The lenders have counted the loan as spent.
		const ownPart = Math.max(0, 1 - loan);
		if (ownPart > 0) {
			this.#ledger.spend(ownPart, nowMs);
		}

		if (loan > 1) {
			this.#ledger.earn(loan - 1, nowMs);
		}

		return true;
	}

	/**
	 * Gives back a retry that was taken and not sent.
	 *
	 * @param takenAtMs - When it was taken, on the monotonic clock, in milliseconds.
	 * @param nowMs - The monotonic time in milliseconds.
	 */
	giveBack(takenAtMs: number, nowMs: number): void {
		this.#ledger.takeBack(1, takenAtMs, nowMs);
	}

	/**
	 * Takes a retry again that was taken earlier and is sent only now, so that it counts in the windows of this moment.
	 *
	 * @param takenAtMs - When it was taken, on the monotonic clock, in milliseconds.
	 * @param nowMs - The monotonic time in milliseconds.
	 * @returns Whether the retry is still allowed.
	 */
	renew(takenAtMs: number, nowMs: number): boolean {
		this.giveBack(takenAtMs, nowMs);
		return this.take(nowMs);
	}

	/**
	 * Checks whether a retry is allowed.
	 *
	 * @param nowMs - The monotonic time in milliseconds.
	 * @param reservedShare - The share of the capacity beyond one retry that must stay free for other requests, from 0 to 1.
	 * @returns Whether {@link take} would allow it now.
	 */
	canTake(nowMs: number, reservedShare = 0): boolean {
		return this.getMissing(nowMs, reservedShare) === 0;
	}

	/**
	 * Gets what this host would have to borrow for a retry.
	 *
	 * @param nowMs - The monotonic time in milliseconds.
	 * @param reservedShare - The share of the capacity beyond one retry that must stay free for other requests, from 0 to 1.
	 * @returns The missing part of a token, from 0 to 1.
	 */
	getMissing(nowMs: number, reservedShare = 0): number {
		const missing = 1 - Math.max(0, this.#getFree(nowMs, reservedShare));
		return missing > tolerance ? missing : 0;
	}

	/**
	 * Gives tokens to another host.
	 *
	 * @param nowMs - The monotonic time in milliseconds.
	 * @param wanted - How many it asks for.
	 * @param reservedShare - The share of the capacity beyond one retry that must stay free for other requests, from 0 to 1.
	 * @returns How many it gets.
	 */
	lend(nowMs: number, wanted: number, reservedShare: number): number {
		const amount = Math.max(
			0,
			Math.min(wanted, this.#getFree(nowMs, reservedShare)),
		);
		if (amount > 0) {
			this.#ledger.spend(amount, nowMs);
		}

		return amount;
	}

	/**
	 * Adds tokens that another host has given too late for the request that they were for.
	 *
	 * @param nowMs - The monotonic time in milliseconds.
	 * @param amount - How many.
	 */
	addLoan(nowMs: number, amount: number): void {
		this.#ledger.earn(amount, nowMs);
	}

	/**
	 * Gets what this host may spend and by which figures.
	 *
	 * @param nowMs - The monotonic time in milliseconds.
	 * @returns The state now.
	 */
	getState(nowMs: number): RetryBudgetState {
		const {getLimit, getPart} = this.#options;
		const {slack, windowMs} = getLimit();
		const part = getPart(windowMs);
		const share = slack / part.hostCount;
		const capacity = part.hasSlack ? share : Math.min(maxEarnedTokens, share);
		const free = capacity - this.#ledger.getDebt(nowMs, windowMs);
		const tokens = part.isNew ? Math.min(free, this.#ledger.net) : free;
		return {...part, capacity, tokens};
	}

	#getFree(nowMs: number, reservedShare: number): number {
		const {tokens, capacity} = this.getState(nowMs);
		return tokens - reservedShare * Math.max(0, capacity - 1);
	}
}
