/** Queues requests that wait for a load report from a target of their service. */

import type {Clock, ServiceName, TargetId} from '@bilberryscale/core';
import type {ClientAccountName} from '../plan/client-account.js';
import {RankQueue, type Waiter} from './rank-queue.js';

/** A request as the queue orders it. */
export type QueuedRequest = {
	readonly service: ServiceName;
	/** Its priority; 0 is the most urgent. */
	readonly rank: number;
	readonly account: ClientAccountName | undefined;
	/** Whether it precedes new requests of its rank and account. */
	readonly isReturning: boolean;
	/** Position among the requests of its rank and account; equal positions are woken in the order in which they started to wait. */
	readonly position: number;
	/** Until when a target could still complete it on time, on the monotonic clock, in milliseconds; its wait ends then. */
	readonly usefulUntilMs: number;
	/** Checks whether it may be sent to a target; a retry is not sent to the same one again. */
	readonly isEligible: (target: TargetId) => boolean;
};

/** Why a wait ended: the request was woken, the time for a recheck has come, or the request can no longer be on time. */
export type WaitEnd = 'woken' | 'recheck' | 'late';

/** The dependencies of the queue. */
export type PriorityWaitQueueOptions = {
	readonly clock: Clock;
	/** Called when the number of waiting requests of a rank has changed. */
	readonly onWaitingCount?: (
		service: ServiceName,
		rank: number,
		count: number,
	) => void;
};

/**
 * Waiting requests by service, woken in the order of their ranks, within a rank
 * in fair order of their client accounts, and otherwise in the order of arrival.
 */
export class PriorityWaitQueue {
	readonly #options: PriorityWaitQueueOptions;
	readonly #ranks = new Map<ServiceName, Map<number, RankQueue>>();

	/**
	 * @param options - The dependencies.
	 */
	constructor(options: PriorityWaitQueueOptions) {
		this.#options = options;
	}

	/**
	 * Records a request that needs a target, before its first wait.
	 *
	 * @param request - The request.
	 */
	open({service, rank, account}: QueuedRequest): void {
		this.#getRank(service, rank).open(account);
	}

	/**
	 * Records that a request needs no target any more; called once after {@link open}.
	 *
	 * @param request - The request.
	 * @param isServed - Whether a target takes it.
	 */
	close({service, rank, account}: QueuedRequest, isServed: boolean): void {
		this.#getRank(service, rank).close(account, isServed);
	}

	/**
	 * Waits until the request is woken, the timeout has passed or the request can no longer be on time.
	 *
	 * @param request - The request.
	 * @param timeoutMs - The maximum wait, in milliseconds.
	 * @returns Why the wait ended.
	 */
	async wait(request: QueuedRequest, timeoutMs: number): Promise<WaitEnd> {
		const {clock} = this.#options;
		const {service, rank, usefulUntilMs} = request;
		const queue = this.#getRank(service, rank);
		const usefulMs = Math.max(0, usefulUntilMs - clock.monotonicMs());
		return new Promise((resolve) => {
			const end = (reason: WaitEnd) => {
				cancel();
				queue.remove(waiter);
				this.#reportCount(request, queue);
				resolve(reason);
			};

			const waiter: Waiter = {
				...request,
				wake() {
					end('woken');
				},
			};
			const cancel = clock.schedule(Math.min(timeoutMs, usefulMs), () => {
				end(usefulMs <= timeoutMs ? 'late' : 'recheck');
			});
			queue.add(waiter);
			this.#reportCount(request, queue);
		});
	}

	/**
	 * Wakes the first request in the queue of a service that may be sent to a target, if any.
	 *
	 * @param service - The service.
	 * @param target - The target, which may have a free slot; undefined if it is not known.
	 */
	wakeFirst(service: ServiceName, target: TargetId | undefined): void {
		this.#getFirst(service, Number.POSITIVE_INFINITY, target)?.wake();
	}

	/**
	 * Wakes the requests that precede another one: those of a more urgent rank, and
	 * those of the same rank whose account has been served less.
	 *
	 * @param request - The request that is about to take a target.
	 * @param maxCount - The maximum number of requests to wake.
	 * @returns The number of woken requests.
	 */
	wakePreceding(
		{service, rank, account}: QueuedRequest,
		maxCount: number,
	): number {
		let count = 0;
		while (count < maxCount) {
			const first =
				this.#getFirst(service, rank) ??
				this.#ranks.get(service)?.get(rank)?.peekBefore(account);
			if (first === undefined) {
				break;
			}

			first.wake();
			count++;
		}

		return count;
	}

	/**
	 * Checks whether a request of a more urgent or the same rank waits.
	 *
	 * @param request - A request that does not wait itself.
	 * @returns Whether one does.
	 */
	hasPreceding({service, rank}: QueuedRequest): boolean {
		return this.#getFirst(service, rank + 1) !== undefined;
	}

	/** Gets the first waiting request of the most urgent rank, among the ranks before a given one and those eligible for a target. */
	#getFirst(
		service: ServiceName,
		beforeRank: number,
		target?: TargetId,
	): Waiter | undefined {
		let first: Waiter | undefined;
		let firstRank = beforeRank;
		for (const [rank, queue] of this.#ranks.get(service) ?? []) {
			const candidate = rank < firstRank ? queue.peek(target) : undefined;
			if (candidate !== undefined) {
				first = candidate;
				firstRank = rank;
			}
		}

		return first;
	}

	#getRank(service: ServiceName, rank: number): RankQueue {
		const ranks = this.#ranks.get(service) ?? new Map<number, RankQueue>();
		this.#ranks.set(service, ranks);
		const queue = ranks.get(rank) ?? new RankQueue();
		ranks.set(rank, queue);
		return queue;
	}

	#reportCount({service, rank}: QueuedRequest, {size}: RankQueue): void {
		this.#options.onWaitingCount?.(service, rank, size);
	}
}
