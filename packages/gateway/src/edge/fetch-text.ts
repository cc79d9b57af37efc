/** Sends one HTTP request over a given connection and reads the response as text. */

import {Buffer} from 'node:buffer';
import type {IncomingHttpHeaders} from 'node:http';
import type {Clock} from '@bilberryscale/core';
import {TargetRequest, type Connection} from '@bilberryscale/daemon/edge';
import {Err, Ok, type Result} from 'ts-results-es';
import {collectBody} from '../relay/collect-body.js';

/**
 * Maximum length of a response in bytes: a plan with 10,000 accounts of 5 keys
 * has 1.9 MB, 2.5 MB as the store encodes it.
 */
const maxTextBytes = 16_777_216;

/** A request and the connection to send it over. */
export type TextRequest = {
	readonly connection: Connection;
	readonly clock: Clock;
	readonly method: 'GET' | 'POST';
	readonly path: string;
	/** The JSON body to send, if any. */
	readonly body?: string;
	/** Timeout for the complete response, in milliseconds. */
	readonly timeoutMs: number;
};

/** A complete response. */
export type TextResponse = {
	readonly status: number;
	readonly headers: IncomingHttpHeaders;
	readonly text: string;
};

/**
 * Sends a request and reads the complete response.
 *
 * @param request - The request.
 * @returns The response, or an error message; after an error the connection can't be used any more.
 */
export async function fetchText(
	request: TextRequest,
): Promise<Result<TextResponse, string>> {
	const {connection, clock, method, path, body, timeoutMs} = request;
	return new Promise((resolve) => {
		let response: TextResponse | undefined;
		const cancelTimer = clock.schedule(timeoutMs, () => {
			targetRequest.cancel(new Error(`no response within ${timeoutMs} ms`));
		});
		const targetRequest = new TargetRequest({
			onAnswer({status, headers, body: responseBody}) {
				if (Buffer.isBuffer(responseBody)) {
					response = {status, headers, text: responseBody.toString()};
					return;
				}

				responseBody.on('error', () => undefined);
				collectBody(
					responseBody,
					(bytes) => {
						cancelTimer();
						resolve(Ok({status, headers, text: bytes.toString()}));
					},
					() => {
						targetRequest.cancel(new Error('the response is too large'));
					},
					maxTextBytes,
				);
			},
			onEnd(error) {
				cancelTimer();
				if (error !== undefined) {
					resolve(Err(error.message));
				} else if (response !== undefined) {
					resolve(Ok(response));
				}
			},
		});
		connection.dispatch(
			{
				method,
				path,
				body: body ?? null,
				...(body !== undefined && {
					headers: {'content-type': 'application/json'},
				}),
			},
			targetRequest,
		);
	});
}
