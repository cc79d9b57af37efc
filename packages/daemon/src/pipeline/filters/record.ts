/** Records the decisions about a call for `explain` and for metrics. */

import type {Clock, Failure} from '@bilberryscale/core';
import type {CallRecord, Decision} from '../../operators/decision-log.js';
import type {Exchange, FilterResult} from '../exchange.js';
import type {Filter} from '../filter.js';

/** A call that has its answer or its refusal. */
export type EndedCall = {
	readonly record: CallRecord;
	/** Why it was not served; undefined if it was. */
	readonly failure: Failure | undefined;
};

/** What the filter works with. */
export type RecordOptions = {
	readonly clock: Clock;
	/** Takes each call at its end. */
	readonly onEnded: (call: EndedCall) => void;
};

/**
 * Makes the first filter of the way, which records the end of each call.
 *
 * @param options - The clock and who takes the record.
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
 * Makes the filter before the last one, which records each send.
 *
 * @param clock - The clock.
 * @returns The filter.
 */
export function makeRecordSendFilter(clock: Clock): Filter {
	return async (exchange, next) => {
		const {decisions, incoming, target} = exchange;
		const add = (kind: Decision['kind'], subject: string) => {
			const afterMs = clock.monotonicMs() - incoming.receivedAtMs;
			decisions.push({afterMs, kind, subject});
		};

		add('send', `target ${target?.target.id ?? 'unknown'}`);
		const result = await next();
		add(result.isOk() ? 'answer' : 'failure', describeResult(result));
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
