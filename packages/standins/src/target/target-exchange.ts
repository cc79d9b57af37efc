/** Reads requests and writes responses of a simulated target. */

import {Buffer} from 'node:buffer';
import {createHash} from 'node:crypto';
import type {IncomingMessage, ServerResponse} from 'node:http';
import {targetHeaders} from '@bilberryscale/core';

/** A request and its pending response. */
export type TargetExchange = {
	readonly request: IncomingMessage;
	readonly response: ServerResponse;
	readonly body: Buffer;
	/** Aborts when the connection closes before the response is written. */
	readonly signal: AbortSignal;
	readonly arrivedAtMs: number;
};

/** The options of `writeResponse`. */
export type TargetResponseOptions = {
	readonly request: IncomingMessage;
	readonly response: ServerResponse;
	readonly body: Buffer;
	readonly target: string;
	readonly headers: Readonly<Record<string, string>>;
	/** Whether the connection closes in the middle of the body. */
	readonly isBroken: boolean;
};

const paddingParameter = 'bytes';
const crashPath = '/crash';
const crashHeader = 'x-standin-crash';

/**
 * Reads the body of a request.
 *
 * @param request - The request.
 * @returns The body; undefined if the connection closed before it was complete.
 */
export async function readBody(
	request: IncomingMessage,
): Promise<Buffer | undefined> {
	const chunks: Buffer[] = [];
	try {
		for await (const chunk of request) {
			chunks.push(chunk as Buffer);
		}
	} catch {
		return undefined;
	}

	return Buffer.concat(chunks);
}

/**
 * Checks whether a request asks the target that runs it to crash.
 *
 * @param request - The request.
 * @returns True if its path starts with `/crash` or it has the header `x-standin-crash`.
 */
export function isCrashRequest(request: IncomingMessage): boolean {
	return (
		request.url?.startsWith(crashPath) === true ||
		request.headers[crashHeader] !== undefined
	);
}

/**
 * Creates a signal for a connection that closes early.
 *
 * @param response - The response to watch.
 * @returns A signal that aborts when the connection closes before the response is written.
 */
export function makeCloseSignal(response: ServerResponse): AbortSignal {
	const controller = new AbortController();
	response.once('close', () => {
		if (!response.writableFinished) {
			controller.abort();
		}
	});
	return controller.signal;
}

/**
 * Writes a JSON response with the ID, the idempotency key and the body digest of the request.
 *
 * @param options - The request and its response; `?bytes=N` in the path adds padding.
 */
export function writeResponse(options: TargetResponseOptions): void {
	const {request, response, headers, isBroken} = options;
	const bytes = Buffer.from(JSON.stringify(getResponseContent(options)));
	response.writeHead(200, {
		...headers,
		'content-type': 'application/json',
		'content-length': bytes.length,
	});
	if (isBroken) {
		response.write(bytes.subarray(0, Math.floor(bytes.length / 2)), () => {
			request.socket.destroy();
		});
		return;
	}

	response.end(bytes);
}

function getResponseContent({request, body, target}: TargetResponseOptions) {
	const url = new URL(request.url ?? '/', 'http://target');
	const length = Number(url.searchParams.get(paddingParameter) ?? 0);
	return {
		target,
		path: request.url,
		requestId: request.headers[targetHeaders.requestId],
		key: request.headers[targetHeaders.idempotencyKey],
		bodyDigest: createHash('sha256').update(body).digest('hex'),
		...(length > 0 && {padding: 'x'.repeat(length)}),
	};
}
