/** The waiting requests of one rank of a service, in fair order of their client accounts. */

import type {TargetId} from '@bilberryscale/core';
import {StartTags} from '@bilberryscale/decisions';
import type {ClientAccountName} from '../plan/client-account.js';

/** A request without a client account belongs to one common flow. */
type Flow = ClientAccountName | undefined;

/** A waiting request. */
export type Waiter = {
	readonly account: Flow;
	/** Whether its caller repeats a refused request; it precedes new ones of its account. */
	readonly isReturning: boolean;
	/** Position among the requests of its account; equal positions are woken in the order of their calls. */
	readonly position: number;
	/** Checks whether the request may be sent to a target. */
	readonly isEligible: (target: TargetId) => boolean;
	/** Ends the wait. */
	readonly wake: () => void;
};

/**
 * Start-time fair queueing over the client accounts of one rank. An account has
 * its start tag from its first open request on, whether that waits or not, and
 * is charged for each request that a target takes.
 */
export class RankQueue {
	#tags = new StartTags<Flow>();
	readonly #openCounts = new Map<Flow, number>();
	readonly #waiters = new Map<Flow, Waiter[]>();
	#size = 0;

	/** The number of waiting requests. */
	get size(): number {
		return this.#size;
	}

	/**
	 * Records a request that needs a target.
	 *
	 * @param account - The client account.
	 */
	open(account: Flow): void {
		const count = this.#openCounts.get(account) ?? 0;
		if (count === 0) {
			this.#tags.activate(account);
		}

		this.#openCounts.set(account, count + 1);
	}

	/**
	 * Records the end of {@link open}.
	 *
	 * @param account - The client account.
	 * @param isServed - Whether a target takes the request.
	 */
	close(account: Flow, isServed: boolean): void {
		if (isServed) {
			this.#tags.charge(account);
		}

		const count = (this.#openCounts.get(account) ?? 1) - 1;
		if (count === 0) {
			this.#openCounts.delete(account);
			this.#endBusyPeriod();
		} else {
			this.#openCounts.set(account, count);
		}
	}

	/** Forgets what accounts were served once no request is open, as start-time fair queueing does. */
	#endBusyPeriod(): void {
		if (this.#openCounts.size === 0) {
			this.#tags = new StartTags();
		}
	}

	/**
	 * Adds a waiting request.
	 *
	 * @param waiter - The request.
	 */
	add(waiter: Waiter): void {
		const waiters = this.#waiters.get(waiter.account) ?? [];
		this.#waiters.set(waiter.account, waiters);
		const precedingIndex = waiters.findLastIndex(
			(other) => !isBefore(waiter, other),
		);
		waiters.splice(precedingIndex + 1, 0, waiter);
		this.#size++;
	}

	/**
	 * Removes a waiting request.
	 *
	 * @param waiter - The request.
	 */
	remove(waiter: Waiter): void {
		const waiters = this.#waiters.get(waiter.account) ?? [];
		const index = waiters.indexOf(waiter);
		if (index === -1) {
			return;
		}

		waiters.splice(index, 1);
		this.#size--;
		if (waiters.length === 0) {
			this.#waiters.delete(waiter.account);
		}
	}

	/**
	 * Gets the request that is woken next.
	 *
	 * @param target - The target to which it must be eligible; undefined for any request.
	 * @returns The first such request of the account with the lowest start tag; undefined if none waits.
	 */
	peek(target?: TargetId): Waiter | undefined {
		let first: Waiter | undefined;
		let lowestTag = Number.POSITIVE_INFINITY;
		for (const [account, waiters] of this.#waiters) {
			const tag = this.#tags.get(account);
			if (tag >= lowestTag) {
				continue;
			}

			const eligible =
				target === undefined
					? waiters[0]
					: waiters.find((waiter) => waiter.isEligible(target));
			if (eligible !== undefined) {
				first = eligible;
				lowestTag = tag;
			}
		}

		return first;
	}

	/**
	 * Gets the request that precedes those of an account.
	 *
	 * @param account - The client account.
	 * @returns The first waiting request, if its account has a lower start tag; otherwise undefined.
	 */
	peekBefore(account: Flow): Waiter | undefined {
		const first = this.peek();
		return first !== undefined &&
			this.#tags.get(first.account) < this.#tags.get(account)
			? first
			: undefined;
	}
}

function isBefore(a: Waiter, b: Waiter): boolean {
	return a.isReturning === b.isReturning
		? a.position < b.position
		: a.isReturning;
}
