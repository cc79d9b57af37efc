/** Refusals as RFC 9457 problem documents. */

import {Buffer} from 'node:buffer';
import {answerTable, type Failure, type RequestId} from '@bilberryscale/core';
import type {Answer} from '../pipeline/exchange.js';
import {ownProtocol, type CallerProtocol} from './caller-protocol.js';

/** An answer whose body is at hand. */
export type ProblemAnswer = Answer & {readonly body: Buffer};

/**
 * Gets the answer for a failure, from the one table.
 *
 * @param failure - Why the request was not served.
 * @param requestId - Names the call.
 * @param protocol - The names and the form of headers.
 * @returns The answer.
 */
export function getProblemAnswer(
	failure: Failure,
	requestId: RequestId,
	protocol: CallerProtocol = ownProtocol,
): ProblemAnswer {
	const {status, title, retryAfterMs: usualMs} = answerTable[failure.kind];
	const retryAfterMs = failure.retryAfterMs ?? usualMs;
	const document = {
		type: `urn:bilberryscale:error:${failure.kind}`,
		title,
		status,
		detail: failure.detail,
		kind: failure.kind,
		ran: failure.ran,
		requestId,
		...(retryAfterMs !== undefined && {retryAfterMs}),
	};
	const body = Buffer.from(JSON.stringify(document));
	return {
		status,
		headers: {
			'content-type': 'application/problem+json',
			'content-length': String(body.length),
			[protocol.runStateHeader]: failure.ran,
			[protocol.requestIdHeader]: requestId,
			...(retryAfterMs !== undefined && {
				'retry-after': protocol.formatRetryAfter(retryAfterMs),
			}),
		},
		body,
	};
}
