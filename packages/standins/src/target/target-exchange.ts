/** Reads requests and writes answers of a target's stand-in. */

import {Buffer} from 'node:buffer';
import {createHash} from 'node:crypto';
import type {IncomingMessage, ServerResponse} from 'node:http';
import {targetHeaders} from '@bilberryscale/core';

/** A request at the target. */
export type TargetExchange = {
	readonly request: IncomingMessage;
	readonly response: ServerResponse;
	readonly body: Buffer;
	/** Aborts when the connection closes before the answer. */
	readonly signal: AbortSignal;
	readonly arrivedAtMs: number;
};

/** An answer to write. */
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
 * Reads the whole body of a request.
 *
 * @param request - The request.
 * @returns The body; undefined if the connection closed before its end.
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
 * Tells whether a request crashes the target that runs it.
 *
 * @param request - The request.
 * @returns True if its path or a header says so.
 */
export function isCrashRequest(request: IncomingMessage): boolean {
	return (
		request.url?.startsWith(crashPath) === true ||
		request.headers[crashHeader] !== undefined
	);
}

/**
 * Watches for the end of the connection before the answer.
 *
 * @param response - The answer.
 * @returns A signal that aborts then.
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
 * Writes an answer that names its request and the digest of its body.
 *
 * @param options - The answer; `?bytes=N` in its request asks for a longer one.
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
