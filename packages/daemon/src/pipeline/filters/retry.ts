/** Acquires a target and sends the request; retries where that is safe. */

import {
	notRunFailure,
	type Clock,
	type Failure,
	type TargetId,
} from '@bilberryscale/core';
import type {Call, Outcome} from '@bilberryscale/decisions';
import {Err} from 'ts-results-es';
import type {TargetAllocator} from '../../dispatch/target-allocator.js';
import {makeShutdownFailure} from '../../http/make-shutdown-failure.js';
import type {Exchange, FilterResult} from '../exchange.js';
import type {Filter} from '../filter.js';

/** The dependencies of the filter. */
export type RetryOptions = {
	readonly allocator: TargetAllocator;
	readonly clock: Clock;
};

/** A request is not retried after this many target failures, as it may be their cause. */
const maxTargetFailures = 2;
/** What becomes of a target to which the request isn't sent after all. */
const unsentOutcome: Outcome = {kind: 'cancelled', latencyMs: 0};

/**
 * Makes the filter that acquires a target for each attempt and retries failed ones.
 *
 * @param options - The target allocator and the clock.
 * @returns The filter.
 */
export function makeRetryFilter(options: RetryOptions): Filter {
	return async (exchange, next) => {
		const {dispatcher} = exchange.getIdentityOrThrow();
		const triedTargets: TargetId[] = [];
		const {attempts} = dispatcher.service.retry;
		let result: FilterResult | undefined;
		let failureCount = 0;
		let mayHaveRun = false;
		for (let attempt = 0; attempt < attempts; attempt++) {
			const call = makeCall(exchange, triedTargets);
			const {signal} = exchange.incoming;
			const acquired = await options.allocator.acquire(
				dispatcher,
				call,
				signal,
			);
			if (acquired.isErr()) {
				return result === undefined
					? acquired
					: addRetryAfter(result, acquired.error);
			}

			if (exchange.isTooLate?.() === true) {
				options.allocator.release(dispatcher, acquired.value, unsentOutcome);
				return result ?? Err(makeShutdownFailure());
			}

			exchange.target = acquired.value;
			triedTargets.push(acquired.value.target.id);
			result = retainUnknownRunState(await next(), mayHaveRun);
			mayHaveRun ||= result.isErr() && result.error.ran === 'unknown';
			failureCount += isTargetFailure(result) ? 1 : 0;
			const isLast =
				attempt + 1 === attempts || failureCount === maxTargetFailures;
			if (isLast || !canRetry(exchange, result, options.clock)) {
				return result;
			}

			if (!dispatcher.takeRetry()) {
				const nowMs = options.clock.monotonicMs();
				const retryAfterMs = dispatcher.getRetryAfterMs(call, nowMs);
				return addRetryAfter(result, {retryAfterMs});
			}
		}

		return result ?? Err(notRunFailure('no-target', 'Nothing was tried.'));
	};
}

function isTargetFailure(result: FilterResult): boolean {
	return result.isErr() && result.error.kind === 'target-failed';
}

/** Keeps `unknown` once an attempt may have run; a later refusal cannot revert it. */
function retainUnknownRunState(
	result: FilterResult,
	mayHaveRun: boolean,
): FilterResult {
	return result.mapErr((failure) =>
		mayHaveRun ? {...failure, ran: 'unknown' as const} : failure,
	);
}

/** Adds the retry delay to a failure if the request did not run. */
function addRetryAfter(
	result: FilterResult,
	{retryAfterMs}: Pick<Failure, 'retryAfterMs'>,
): FilterResult {
	return result.mapErr((failure) =>
		failure.ran === 'not-run' && retryAfterMs !== undefined
			? {...failure, retryAfterMs}
			: failure,
	);
}

function makeCall(exchange: Exchange, triedTargets: TargetId[]): Call {
	const identity = exchange.getIdentityOrThrow();
	return {
		requestId: exchange.incoming.requestId,
		callerClass: identity.callerClass,
		isIdempotent: identity.isIdempotent,
		deadlineMs: identity.deadlineMs,
		triedTargets: [...triedTargets],
	};
}

function canRetry(
	exchange: Exchange,
	result: FilterResult,
	clock: Clock,
): boolean {
	const {isIdempotent, deadlineMs} = exchange.getIdentityOrThrow();
	if (result.isOk() || exchange.incoming.signal.aborted) {
		return false;
	}

	return (
		clock.monotonicMs() < deadlineMs &&
		(isIdempotent || result.error.ran === 'not-run')
	);
}
