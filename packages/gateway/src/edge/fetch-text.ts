/** Sends one HTTP request over a given connection and reads the response as text. */

import {Buffer} from 'node:buffer';
import type {IncomingHttpHeaders} from 'node:http';
import {gunzipSync} from 'node:zlib';
import type {Clock} from '@bilberryscale/core';
import {
	processByteBudget,
	TargetRequest,
	type Connection,
} from '@bilberryscale/daemon/edge';
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
	/** Whether the response may be compressed with gzip, which costs processor time on both sides. */
	readonly acceptsGzip?: boolean;
	/** Timeout for the complete response, in milliseconds. */
	readonly timeoutMs: number;
};

/** A complete response. */
export type TextResponse = {
	readonly status: number;
	readonly headers: IncomingHttpHeaders;
	readonly text: string;
};

/** The longest text that a compressed response may hold, in bytes; decompressing it takes some milliseconds. */
const maxDecompressedBytes = 4_194_304;

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
	const headers = getRequestHeaders(request);
	return new Promise((resolve) => {
		let response: Result<TextResponse, string> | undefined;
		const lease = processByteBudget.lease(() => {
			targetRequest.cancel(
				new Error('the messages that this host holds need too much memory'),
			);
		});
		const cancelTimer = clock.schedule(timeoutMs, () => {
			targetRequest.cancel(new Error(`no response within ${timeoutMs} ms`));
		});
		const targetRequest = new TargetRequest({
			onAnswer({status, headers: responseHeaders, body: responseBody}) {
				if (Buffer.isBuffer(responseBody)) {
					response = decodeResponse(status, responseHeaders, responseBody);
					return;
				}

				responseBody.on('error', () => undefined);
				collectBody(responseBody, {
					onComplete(bytes) {
						cancelTimer();
						resolve(decodeResponse(status, responseHeaders, bytes));
					},
					onOversized() {
						targetRequest.cancel(new Error('the response is too large'));
					},
					maxBytes: maxTextBytes,
					lease,
				});
			},
			onEnd(error) {
				cancelTimer();
				lease.release();
				if (error !== undefined) {
					resolve(Err(error.message));
				} else if (response !== undefined) {
					resolve(response);
				}
			},
		});
		connection.dispatch(
			{
				method,
				path,
				body: body ?? null,
				...(Object.keys(headers).length > 0 && {headers}),
			},
			targetRequest,
		);
	});
}

function getRequestHeaders({
	body,
	acceptsGzip = false,
}: TextRequest): Record<string, string> {
	return {
		...(body !== undefined && {'content-type': 'application/json'}),
		...(acceptsGzip && {'accept-encoding': 'gzip'}),
	};
}

function decodeResponse(
	status: number,
	headers: IncomingHttpHeaders,
	bytes: Buffer,
): Result<TextResponse, string> {
	if (headers['content-encoding'] !== 'gzip') {
		return Ok({status, headers, text: bytes.toString()});
	}

	try {
		const decompressed = gunzipSync(bytes, {
			maxOutputLength: maxDecompressedBytes,
		});
		return Ok({status, headers, text: decompressed.toString()});
	} catch (error) {
		return Err(
			`the response is not decompressible: ${(error as Error).message}`,
		);
	}
}
