/** Runs a keyed call through the filters that choose a target and send. */

import {Readable} from 'node:stream';
import {callerHeaders, type Clock} from '@bilberryscale/core';
import {Exchange, type FilterResult} from '../pipeline/exchange.js';
import type {Pipeline} from '../pipeline/filter.js';
import type {KeyedCall} from './keyed-call.js';

/**
 * Runs a call. It continues after the caller disconnects, so that a retry by the caller finds the answer.
 *
 * @param call - The call.
 * @param pipeline - The filters from `identify` on, without the one that reads the body.
 * @param clock - The clock that the deadline refers to.
 * @returns The answer, or the failure.
 */
export async function runKeyedCall(
	call: KeyedCall,
	pipeline: Pipeline,
	clock: Clock,
): Promise<FilterResult> {
	const nowMs = clock.monotonicMs();
	const timeoutMs = Math.max(1, Math.ceil(call.deadlineMs - nowMs));
	const exchange = new Exchange({
		requestId: call.requestId,
		method: call.method,
		url: call.url,
		headers: {
			...call.headers,
			[callerHeaders.idempotencyKey]: call.key,
			[callerHeaders.timeout]: String(timeoutMs),
		},
		body: Readable.from([]),
		receivedAtMs: nowMs,
		signal: new AbortController().signal,
	});
	exchange.bodyBytes = call.body;
	return pipeline(exchange);
}
