/** Refusals as RFC 9457 problem documents. */

import {Buffer} from 'node:buffer';
import {
	answerTable,
	callerHeaders,
	type Failure,
	type RequestId,
} from '@bilberryscale/core';
import type {Answer} from '../pipeline/exchange.js';

/** An answer whose body is at hand. */
export type ProblemAnswer = Answer & {readonly body: Buffer};

const msPerSecond = 1000;

/**
 * Gets the answer for a failure, from the one table.
 *
 * @param failure - Why the request was not served.
 * @param requestId - Names the call.
 * @returns The answer.
 */
export function getProblemAnswer(
	failure: Failure,
	requestId: RequestId,
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
			[callerHeaders.runState]: failure.ran,
			[callerHeaders.requestId]: requestId,
			...(retryAfterMs !== undefined && {
				'retry-after': String(Math.ceil(retryAfterMs / msPerSecond)),
			}),
		},
		body,
	};
}
