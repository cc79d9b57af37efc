/** Records the decisions about a request for `explain` and for metrics. */

import type {Clock, Failure} from '@bilberryscale/core';
import type {CallRecord, Decision} from '../../operators/decision-log.js';
import type {Exchange, FilterResult} from '../exchange.js';
import type {Filter} from '../filter.js';

/** A request that has its response or its failure. */
export type EndedCall = {
	readonly record: CallRecord;
	/** The failure; undefined if the request was served. */
	readonly failure: Failure | undefined;
};

/** The dependencies of the filter. */
export type RecordOptions = {
	readonly clock: Clock;
	/** Called once for each request when it ends. */
	readonly onEnded: (call: EndedCall) => void;
};

/**
 * Makes the first filter of a pipeline, which records how each request ended.
 *
 * @param options - The clock and the callback for records.
 * @returns The filter.
 */
export function makeRecordFilter(options: RecordOptions): Filter {
	return async (exchange, next) => {
		const result = await next();
		options.onEnded({
			record: makeRecord(exchange, result, options.clock),
			failure: result.isErr() ? result.error : undefined,
		});
		return result;
	};
}

/**
 * Makes the filter that records the start and the result of each attempt.
 *
 * @param clock - The clock.
 * @returns The filter.
 */
export function makeRecordAttemptFilter(clock: Clock): Filter {
	return async (exchange, next) => {
		const {decisions, incoming, target} = exchange;
		const addDecision = (kind: Decision['kind'], subject: string) => {
			const afterMs = clock.monotonicMs() - incoming.receivedAtMs;
			decisions.push({afterMs, kind, subject});
		};

		addDecision('send', `target ${target?.target.id ?? 'unknown'}`);
		const result = await next();
		addDecision(result.isOk() ? 'answer' : 'failure', describeResult(result));
		return result;
	};
}

function makeRecord(
	exchange: Exchange,
	result: FilterResult,
	clock: Clock,
): CallRecord {
	const {incoming, decisions, identity} = exchange;
	const sends = decisions.filter(({kind}) => kind === 'send').length;
	return {
		requestId: incoming.requestId,
		endedAt: clock.now(),
		sends,
		service: identity?.dispatcher.service.name,
		method: incoming.method,
		isIdempotent: identity?.isIdempotent,
		hasKey: identity?.key !== undefined,
		isOrdinary: result.isOk() && sends === 1,
		outcome: describeResult(result),
		durationMs: clock.monotonicMs() - incoming.receivedAtMs,
		decisions,
	};
}

function describeResult(result: FilterResult): string {
	return result.isOk()
		? `status ${result.value.status}`
		: `${result.error.kind}, ${result.error.ran}`;
}
