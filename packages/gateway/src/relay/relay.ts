/** Relays a request to targets, with retries, and builds the result for the caller. */

import {
	notRunFailure,
	possiblyRunFailure,
	type Clock,
	type Failure,
	type TargetId,
} from '@bilberryscale/core';
import type {Exchange, FilterResult} from '@bilberryscale/daemon/edge';
import {Err, Ok, type Result} from 'ts-results-es';
import type {PickedTarget, TargetPicker} from '../choice/target-picker.js';
import {RetryBudget, type RetryBudgetLimit} from '../limits/retry-budget.js';
import type {Route} from '../plan/routing-plan.js';
import type {RequestRecorder} from '../records/request-recorder.js';
import type {RequestReader, RoutedRequest} from './request-reader.js';
import type {AttemptDispatcher} from './attempt-dispatcher.js';
import {
	describeResult,
	pickBetterResult,
	isConclusive,
	mayHaveRun,
	type AttemptResult,
} from './attempt-result.js';
import type {ServiceTimes} from './service-times.js';

/** Dependencies of the relay. */
export type RelayOptions = {
	readonly clock: Clock;
	readonly picker: TargetPicker;
	readonly reader: RequestReader;
	readonly serviceTimes: ServiceTimes;
	readonly dispatcher: AttemptDispatcher;
	readonly getRetryBudgetLimit: () => RetryBudgetLimit;
	readonly getHostCount: () => number;
	readonly recorder: RequestRecorder;
	readonly isShuttingDown: () => boolean;
};

/** Share of the retry budget that is reserved for returning callers. */
const returningCallerShare = 0.6;
/** Retry delay for callers whose request was refused by targets with free capacity, in milliseconds. */
const refusedRetryAfterMs = 40;
/** Maximum attempts beyond the route's limit, to targets that refused the request at random before. */
const maxRepeatedAttempts = 3;
/** Status 421 Misdirected Request: the address belongs to another target now. */
const misdirectedStatus = 421;

/** Relays requests to targets within the retry budget of each service. */
export class Relay {
	readonly #options: RelayOptions;
	readonly #retryBudgets = new Map<string, RetryBudget>();

	/**
	 * @param options - The dependencies.
	 */
	constructor(options: RelayOptions) {
		this.#options = options;
	}

	/**
	 * Relays a request.
	 *
	 * @param exchange - The request.
	 * @returns The response, or the reason for the failure.
	 */
	async run(exchange: Exchange): Promise<FilterResult> {
		const result = await this.#options.reader.read(exchange);
		if (result.isErr()) {
			this.#options.recorder.recordRefusal(exchange, result.error);
			return result;
		}

		const request = result.value;
		const blockedFailure = this.#options.dispatcher.getBlockedFailure(request);
		const outcome =
			blockedFailure === undefined
				? await this.#sendWithRetries(request)
				: Err(blockedFailure);
		this.#options.recorder.recordCompletion(exchange, request.route, outcome);
		return outcome;
	}

	async #sendWithRetries(request: RoutedRequest): Promise<FilterResult> {
		const {clock} = this.#options;
		this.#getRetryBudget(request.service).addRequest(clock.monotonicMs());
		const triedTargets = new Set<TargetId>();
		const refusingTargets = new Set<TargetId>();
		let attempts = 0;
		let best: AttemptResult | undefined;
		/** The number of attempts in which the target may have run the request. */
		let executions = 0;
		for (;;) {
			if (best !== undefined && !this.#takeRetry(request, best)) {
				return this.#buildResult(
					request,
					best,
					executions,
					'the retry allowance is used up',
				);
			}

			const isTargetLimitReached =
				triedTargets.size >= request.route.maxAttempts;
			const picked = await this.#pick(
				request,
				triedTargets,
				isTargetLimitReached ? refusingTargets : undefined,
			);
			if (picked.isErr()) {
				return best === undefined
					? Err(this.#options.reader.addRetryAfter(request, picked.error))
					: this.#buildResult(request, best, executions, picked.error.detail);
			}

			const {registration} = picked.value.state;
			triedTargets.add(registration.id);
			attempts++;
			const previousExecutions = executions;
			const result = await this.#options.dispatcher.send(
				request,
				picked.value,
				attempts,
				() => this.#canLeaveStalledTarget(request, previousExecutions),
			);
			this.#options.picker.wakeFirstWaiting(request.service);
			if (result.kind === 'refused' && result.status !== misdirectedStatus) {
				refusingTargets.add(registration.id);
			}

			best = pickBetterResult(best, result);
			executions += mayHaveRun(result) ? 1 : 0;
			if (!this.#canRetry(request, result, executions, attempts)) {
				return this.#buildResult(request, best, executions, undefined);
			}
		}
	}

	/**
	 * Takes a retry from the budget. After the first refusal of a caller, a share of the budget is
	 * left to returning callers, because a refused caller retries once and gives up after a second refusal.
	 */
	#takeRetry(
		{service, isReturning}: RoutedRequest,
		best: AttemptResult,
	): boolean {
		const isFirstRefusal = best.kind === 'refused' && !isReturning;
		return this.#getRetryBudget(service).take(
			this.#options.clock.monotonicMs(),
			isFirstRefusal ? returningCallerShare : 0,
		);
	}

	/**
	 * Checks whether an attempt that has stalled may be cancelled for another one.
	 * While the host shuts down, the other one might not complete in time.
	 */
	#canLeaveStalledTarget(
		{service, route}: RoutedRequest,
		previousExecutions: number,
	): boolean {
		const {clock, isShuttingDown} = this.#options;
		return (
			!isShuttingDown() &&
			previousExecutions + 1 < route.maxAttempts &&
			this.#getRetryBudget(service).canTake(clock.monotonicMs())
		);
	}

	async #pick(
		request: RoutedRequest,
		triedTargets: ReadonlySet<TargetId>,
		allowedTargets: ReadonlySet<TargetId> | undefined,
	): Promise<Result<PickedTarget, Failure>> {
		const {picker} = this.#options;
		const {route, service, deadlineMs} = request;
		return picker.pick({
			service,
			isIdempotent: route.isIdempotent,
			serviceTimeMs: this.#getServiceTimeMs(route),
			triedTargets,
			allowedTargets,
			deadlineMs,
			receivedAtMs: request.exchange.incoming.receivedAtMs,
			signal: request.exchange.incoming.signal,
			targetLatencyMs: route.targetLatencyMs,
		});
	}

	#getServiceTimeMs({name, targetLatencyMs}: Route): number {
		return this.#options.serviceTimes.getMs(name, targetLatencyMs);
	}

	#canRetry(
		{route, exchange, deadlineMs}: RoutedRequest,
		result: AttemptResult,
		executions: number,
		attempts: number,
	): boolean {
		const isFinal =
			isConclusive(result) ||
			exchange.incoming.signal.aborted ||
			executions >= route.maxAttempts ||
			attempts >= route.maxAttempts + maxRepeatedAttempts;
		if (isFinal) {
			return false;
		}

		const remainingMs = deadlineMs - this.#options.clock.monotonicMs();
		return (
			remainingMs > this.#getServiceTimeMs(route) / 2 &&
			(route.isIdempotent || !mayHaveRun(result))
		);
	}

	/** Builds the result for the caller from the best attempt. */
	#buildResult(
		request: RoutedRequest,
		best: AttemptResult,
		executions: number,
		reason: string | undefined,
	): FilterResult {
		if (best.kind === 'answered') {
			return Ok(best.answer);
		}

		const detail =
			describeResult(best) + (reason === undefined ? '' : `; ${reason}`);
		if (executions === 0) {
			// Targets with free capacity refuse at random, so an early retry can succeed.
			return Err(notRunFailure('target-refused', detail, refusedRetryAfterMs));
		}

		const isTimedOut = best.kind === 'failed' && best.cause === 'overdue';
		return Err(
			possiblyRunFailure(
				isTimedOut ? 'deadline-exceeded' : 'target-failed',
				detail,
			),
		);
	}

	#getRetryBudget(service: string): RetryBudget {
		const {getRetryBudgetLimit, getHostCount} = this.#options;
		const existing = this.#retryBudgets.get(service);
		const budget =
			existing ?? new RetryBudget(getRetryBudgetLimit, getHostCount);
		this.#retryBudgets.set(service, budget);
		return budget;
	}
}
