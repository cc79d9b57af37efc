/** Takes a target and sends; sends again where that is safe. */

import {
	notRun,
	type Clock,
	type Failure,
	type TargetId,
} from '@bilberryscale/core';
import type {Call} from '@bilberryscale/decisions';
import {Err} from 'ts-results-es';
import type {CallDesk} from '../../dispatch/call-desk.js';
import type {Exchange, FilterResult} from '../exchange.js';
import type {Filter} from '../filter.js';

/** What the filter works with. */
export type AttemptOptions = {
	readonly desk: CallDesk;
	readonly clock: Clock;
};

/** A request under which two targets were lost is not sent again. */
const mostLost = 2;

/**
 * Makes the filter that takes a target for each attempt.
 *
 * @param options - Where targets come from.
 * @returns The filter.
 */
export function makeAttemptFilter(options: AttemptOptions): Filter {
	return async (exchange, next) => {
		const {dispatcher} = exchange.getIdentityOrThrow();
		const triedTargets: TargetId[] = [];
		const {attempts} = dispatcher.service.retry;
		let result: FilterResult | undefined;
		let lostCount = 0;
		let mayHaveRun = false;
		for (let attempt = 0; attempt < attempts; attempt++) {
			const call = makeCall(exchange, triedTargets);
			const {signal} = exchange.incoming;
			const acquired = await options.desk.acquire(dispatcher, call, signal);
			if (acquired.isErr()) {
				return result === undefined
					? acquired
					: addRetryAfter(result, acquired.error);
			}

			exchange.target = acquired.value;
			triedTargets.push(acquired.value.target.id);
			result = keepRunState(await next(), mayHaveRun);
			mayHaveRun ||= result.isErr() && result.error.ran === 'unknown';
			lostCount += isLost(result) ? 1 : 0;
			const isLast = attempt + 1 === attempts || lostCount === mostLost;
			if (isLast || !mayTryAgain(exchange, result, options.clock)) {
				return result;
			}

			if (!dispatcher.takeRetry()) {
				const nowMs = options.clock.monotonicMs();
				const retryAfterMs = dispatcher.getRetryAfterMs(call, nowMs);
				return addRetryAfter(result, {retryAfterMs});
			}
		}

		return result ?? Err(notRun('no-target', 'Nothing was tried.'));
	};
}

function isLost(result: FilterResult): boolean {
	return result.isErr() && result.error.kind === 'target-failed';
}

/** Once a send may have run, a later refusal does not undo it. */
function keepRunState(result: FilterResult, mayHaveRun: boolean): FilterResult {
	return result.mapErr((failure) =>
		mayHaveRun ? {...failure, ran: 'unknown' as const} : failure,
	);
}

/** Tells the caller when to come back, if the send did not run. */
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

function mayTryAgain(
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
