/** Runs a keyed call through the filters that take a target and send. */

import {Readable} from 'node:stream';
import {callerHeaders, type Clock} from '@bilberryscale/core';
import {Exchange, type FilterResult} from '../pipeline/exchange.js';
import type {Pipeline} from '../pipeline/filter.js';
import type {KeyedCall} from './keyed-call.js';

/**
 * Runs a call; it goes on when the caller has gone, so that a resend finds the answer.
 *
 * @param call - The call.
 * @param pipeline - The filters from identify on, without the reading of a body.
 * @param clock - The clock.
 * @returns The answer, or why there is none.
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
