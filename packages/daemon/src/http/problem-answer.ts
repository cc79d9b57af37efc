/** Error responses with RFC 9457 problem documents. */

import {Buffer} from 'node:buffer';
import {
	errorResponses,
	type Failure,
	type RequestId,
} from '@bilberryscale/core';
import type {Answer} from '../pipeline/exchange.js';
import {defaultCallerProtocol, type CallerProtocol} from './caller-protocol.js';

/** An error response with its body in memory. */
export type ProblemAnswer = Answer & {readonly body: Buffer};

/**
 * Makes the error response for a failure, with status and title from {@link errorResponses}.
 *
 * @param failure - Why the request was not served.
 * @param requestId - Identifies the request.
 * @param protocol - Names and formats of the headers.
 * @returns The error response.
 */
export function getProblemAnswer(
	failure: Failure,
	requestId: RequestId,
	protocol: CallerProtocol = defaultCallerProtocol,
): ProblemAnswer {
	const {
		status,
		title,
		retryAfterMs: defaultRetryAfterMs,
	} = errorResponses[failure.kind];
	const retryAfterMs =
		failure.isRetryFutile === true
			? undefined
			: (failure.retryAfterMs ?? defaultRetryAfterMs);
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
