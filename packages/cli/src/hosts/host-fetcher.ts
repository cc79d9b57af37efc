/** Fetches documents from entry hosts over their operator ports. */

import {limitTransfer, systemClock} from '@bilberryscale/core';
import {Err, Ok, type Result} from 'ts-results-es';
import {Agent, request} from 'undici';

/** A request to one host. */
export type HostRequest = {
	/** The IP address and the operator port, as `address:port`. */
	readonly host: string;
	/** The path, including the query string. */
	readonly path: string;
	readonly token: string;
};

/** Sends a request to one host; returns the parsed JSON document, or why there is none. */
export type HostFetcher = (
	request: HostRequest,
) => Promise<Result<unknown, string>>;

/** How long a response may take to begin, and to end after that while it makes no progress, in milliseconds. */
const requestTimeoutMs = 3000;
const maxResponseBytes = 32_000_000;
const okStatus = 200;
const unauthorizedStatus = 401;

/**
 * Makes a fetcher that uses HTTP.
 *
 * @returns The fetcher.
 */
export function makeHostFetcher(): HostFetcher {
	const dispatcher = new Agent({
		maxResponseSize: maxResponseBytes,
		connect: {timeout: requestTimeoutMs},
		keepAliveTimeout: 1,
	});
	return async ({host, path, token}) => {
		try {
			return await limitTransfer(
				{
					clock: systemClock,
					beginMs: requestTimeoutMs,
					pace: {graceMs: requestTimeoutMs},
				},
				async ({signal, collectText}) => {
					const {statusCode, body} = await request(`http://${host}${path}`, {
						dispatcher,
						headers: {authorization: `Bearer ${token}`},
						signal,
					});
					return parseResponse(statusCode, await collectText(body));
				},
			);
		} catch (error) {
			return Err(`request failed: ${describeError(error as Error)}`);
		}
	};
}

function parseResponse(status: number, text: string): Result<unknown, string> {
	if (status === unauthorizedStatus) {
		return Err('token rejected');
	}

	return status === okStatus
		? Ok(JSON.parse(text))
		: Err(`unexpected status ${status}`);
}

function describeError(error: Error): string {
	const {code} = error as NodeJS.ErrnoException;
	return error.message === '' ? (code ?? error.name) : error.message;
}
