/** Counts requests and their retries towards the budget that all hosts share. */

import type {Clock} from '@bilberryscale/core';
import type {ServiceCapacity} from '../capacity/service-capacity.js';
import type {RetryBudget} from '../limits/retry-budget.js';
import type {RetryBudgets} from '../limits/retry-budgets.js';
import type {RetryLoans} from '../limits/retry-loans.js';
import type {RequestRecorder} from '../records/request-recorder.js';
import type {AttemptResult} from './attempt-result.js';
import type {RequestProgress} from './request-progress.js';
import type {RoutedRequest} from './request-reader.js';

/** The budgets and what decides about their use. */
export type RetryAllowanceOptions = {
	readonly clock: Clock;
	readonly budgets: RetryBudgets;
	/** Borrows retries from other hosts. */
	readonly loans: Pick<RetryLoans, 'borrow'>;
	/** Knows for which priorities slots are left free. */
	readonly capacity: Pick<ServiceCapacity, 'isShort'>;
	readonly recorder: Pick<RequestRecorder, 'recordRetryDecision'>;
};

/** Share of the retry budget that is reserved for returning callers. */
const returningCallerShare = 0.6;
/** The same while less urgent requests of the service leave slots to urgent ones, which would otherwise find the budget used up. */
const urgentRequestShare = 0.85;
/** Time after which a retry that has waited for a target is taken again, in milliseconds. */
const maxHoldMs = 100;

/** Decides whether a request may be sent once more. */
export class RetryAllowance {
	readonly #options: RetryAllowanceOptions;

	/**
	 * @param options - The budgets and what decides about their use.
	 */
	constructor(options: RetryAllowanceOptions) {
		this.#options = options;
	}

	/**
	 * Gets the budget of the service of a request.
	 *
	 * @param request - The request.
	 * @returns The budget of this host.
	 */
	getBudget({service}: RoutedRequest): RetryBudget {
		return this.#options.budgets.get(service);
	}

	/**
	 * Counts a request, unless another host has or this one has before.
	 *
	 * @param request - The request.
	 * @param progress - Its progress.
	 */
	countRequest(request: RoutedRequest, progress: RequestProgress): void {
		if (!progress.isCounted) {
			progress.isCounted = true;
			this.getBudget(request).addRequest(this.#options.clock.monotonicMs());
		}
	}

	/**
	 * Takes a retry from the budget, borrowing from other hosts if need be. After the first refusal
	 * of a caller, a share of the budget is left to returning callers, because a refused caller retries
	 * once and gives up after a second refusal.
	 *
	 * @param request - The request.
	 * @param best - The best result so far.
	 * @param progress - The progress of the request.
	 * @returns Whether it may be sent once more.
	 */
	async take(
		request: RoutedRequest,
		best: AttemptResult,
		progress: RequestProgress,
	): Promise<boolean> {
		const {clock, capacity, loans, recorder} = this.#options;
		const {service, isReturning, priority, exchange} = request;
		const isFirstRefusal = best.kind === 'refused' && !isReturning;
		const firstRefusalShare = capacity.isShort(service, priority)
			? urgentRequestShare
			: returningCallerShare;
		const reservedShare = isFirstRefusal ? firstRefusalShare : 0;
		const budget = this.getBudget(request);
		const hasEnough = budget.take(clock.monotonicMs(), reservedShare);
		const loan = hasEnough ? 0 : await loans.borrow(service, reservedShare);
		const nowMs = clock.monotonicMs();
		const isAllowed = hasEnough || budget.take(nowMs, reservedShare, loan);
		progress.retryTakenAtMs = isAllowed ? nowMs : undefined;
		recorder.recordRetryDecision(exchange, {
			service,
			isAllowed,
			loan,
			...budget.getState(nowMs),
		});
		return isAllowed;
	}

	/**
	 * Uses the retry that was taken for a request that is about to be sent. One that has waited for a
	 * target is taken again, as the windows that have begun since would miss it.
	 *
	 * @param request - The request.
	 * @param progress - Its progress.
	 * @returns Whether the request may still be sent; true for one that needs no retry.
	 */
	use(request: RoutedRequest, progress: RequestProgress): boolean {
		const takenAtMs = progress.retryTakenAtMs;
		const nowMs = this.#options.clock.monotonicMs();
		progress.retryTakenAtMs = undefined;
		return (
			takenAtMs === undefined ||
			nowMs - takenAtMs <= maxHoldMs ||
			this.getBudget(request).renew(takenAtMs, nowMs)
		);
	}

	/**
	 * Gives back the retry of a request for which no target was found.
	 *
	 * @param request - The request.
	 * @param progress - Its progress.
	 */
	giveBack(request: RoutedRequest, progress: RequestProgress): void {
		const takenAtMs = progress.retryTakenAtMs;
		if (takenAtMs !== undefined) {
			progress.retryTakenAtMs = undefined;
			const nowMs = this.#options.clock.monotonicMs();
			this.getBudget(request).giveBack(takenAtMs, nowMs);
		}
	}
}
