/** Sends one HTTP request over a given connection and reads the response as text. */

import {Buffer} from 'node:buffer';
import type {IncomingHttpHeaders} from 'node:http';
import {gunzipSync} from 'node:zlib';
import {
	ProgressLimit,
	type Clock,
	type TransferPace,
} from '@bilberryscale/core';
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
const maxTextBytes = 8_388_608;

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
	/** How long the response may take to begin, in milliseconds; then it may go on while it makes progress. */
	readonly timeoutMs: number;
	/** How slow it may be then. */
	readonly pace?: TransferPace | undefined;
	/** How often longer than that it may take. */
	readonly patience?: number;
};

/** How far the body of a response has come. */
export type TransferProgress = {
	readonly receivedBytes: number;
	/** The length that the response states; undefined if it states none. */
	readonly expectedBytes: number | undefined;
	/** How long nothing has come, in milliseconds: since the last bytes, or since the request. */
	readonly silentMs: number;
};

/** Why there is no response. */
export type FetchError = {
	readonly detail: string;
	/** How far it had come; undefined if nothing was sent. */
	readonly progress?: TransferProgress;
	/** Whether it was on its way, so that more time might complete it. */
	readonly hasProgressed?: boolean;
	/** Whether the response is longer than what is read. */
	readonly isOversized?: boolean;
};

/** A complete response. */
export type TextResponse = {
	readonly status: number;
	readonly headers: IncomingHttpHeaders;
	readonly text: string;
};

/** The longest text that a compressed response may hold, in bytes; decompressing it takes some milliseconds. */
const maxDecompressedBytes = 4_194_304;
/** How many JSON lists, tables and their items a response may hold: each costs much more memory than its bytes. */
const maxItems = 500_000;
const comma = 0x2c;
const openingBracket = 0x5b;
const openingBrace = 0x7b;

/**
 * Sends a request and reads the complete response.
 *
 * @param request - The request.
 * @returns The response, or why there is none; after an error the connection can't be used any more.
 */
export async function fetchText(
	request: TextRequest,
): Promise<Result<TextResponse, FetchError>> {
	const {connection, clock, method, path, body} = request;
	const headers = getRequestHeaders(request);
	return new Promise((resolve) => {
		let response: Result<TextResponse, string> | undefined;
		let expectedBytes: number | undefined;
		let isOversized = false;
		const finish = (outcome: Result<TextResponse, string>) => {
			resolve(
				outcome.mapErr((detail) => ({
					detail,
					progress: {
						receivedBytes: limit.receivedBytes,
						expectedBytes,
						silentMs: Math.round(limit.silentMs),
					},
					hasProgressed: limit.hasProgressed,
					isOversized,
				})),
			);
		};

		const decode = (
			status: number,
			responseHeaders: IncomingHttpHeaders,
			bytes: Buffer,
		) =>
			decodeText(responseHeaders, bytes, () => {
				connection.reportUnusedBody(bytes.length);
			}).map((text) => ({status, headers: responseHeaders, text}));
		const lease = processByteBudget.lease(() => {
			targetRequest.cancel(
				new Error('the messages that this host holds need too much memory'),
			);
		});
		const limit = new ProgressLimit({
			clock,
			beginMs: request.timeoutMs,
			pace: request.pace,
			patience: request.patience,
			onExpired(reason) {
				targetRequest.cancel(new Error(reason));
			},
		});
		const targetRequest = new TargetRequest({
			onAnswer({status, headers: responseHeaders, body: responseBody}) {
				expectedBytes = getStatedLength(responseHeaders);
				limit.begin();
				if (Buffer.isBuffer(responseBody)) {
					response = decode(status, responseHeaders, responseBody);
					return;
				}

				responseBody.on('error', () => undefined);
				responseBody.on('data', (chunk: Buffer) => {
					limit.addBytes(chunk.length);
				});
				collectBody(responseBody, {
					onComplete(bytes) {
						limit.stop();
						finish(decode(status, responseHeaders, bytes));
					},
					onOversized() {
						isOversized = true;
						connection.reportUnusedBody(maxTextBytes);
						targetRequest.cancel(new Error('the response is too large'));
					},
					maxBytes: maxTextBytes,
					lease,
				});
			},
			onEnd(error) {
				limit.stop();
				lease.release();
				if (error !== undefined) {
					finish(Err(error.message));
				} else if (response !== undefined) {
					finish(response);
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

function getStatedLength(headers: IncomingHttpHeaders): number | undefined {
	const length = headers['content-length'];
	return length === undefined ? undefined : Number(length);
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

function decodeText(
	headers: IncomingHttpHeaders,
	bytes: Buffer,
	onFlood: () => void,
): Result<string, string> {
	const decompressed =
		headers['content-encoding'] === 'gzip'
			? decompress(bytes, onFlood)
			: Ok(bytes);
	return decompressed.andThen((text) => {
		if (text.length > maxItems && countItems(text) > maxItems) {
			onFlood();
			return Err(`the response has more than ${maxItems} items`);
		}

		return Ok(text.toString());
	});
}

function decompress(
	bytes: Buffer,
	onFlood: () => void,
): Result<Buffer, string> {
	try {
		return Ok(gunzipSync(bytes, {maxOutputLength: maxDecompressedBytes}));
	} catch (error) {
		if ((error as NodeJS.ErrnoException).code === 'ERR_BUFFER_TOO_LARGE') {
			onFlood();
		}

		return Err(
			`the response is not decompressible: ${(error as Error).message}`,
		);
	}
}

/** Counts the characters that begin or separate items, also those within strings. */
function countItems(bytes: Buffer): number {
	let count = 0;
	for (const byte of bytes) {
		if (byte === comma || byte === openingBracket || byte === openingBrace) {
			count++;
		}
	}

	return count;
}
