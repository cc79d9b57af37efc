/** Asks entry hosts over their operators' ports. */

import {Err, Ok, type Result} from 'ts-results-es';
import {Agent, request} from 'undici';

/** One question to one host. */
export type HostRequest = {
	/** The address and the port of the operators' port. */
	readonly host: string;
	/** The path with its query. */
	readonly path: string;
	readonly token: string;
};

/** Asks one host; gives the answer's document, or why there is none. */
export type HostFetcher = (
	question: HostRequest,
) => Promise<Result<unknown, string>>;

const requestTimeoutMs = 3000;
const maxResponseBytes = 32_000_000;
const okStatus = 200;
const unauthorizedStatus = 401;

/**
 * Makes the query over HTTP.
 *
 * @returns The query.
 */
export function makeHostFetcher(): HostFetcher {
	const dispatcher = new Agent({
		maxResponseSize: maxResponseBytes,
		connect: {timeout: requestTimeoutMs},
		keepAliveTimeout: 1,
	});
	return async ({host, path, token}) => {
		try {
			const response = await request(`http://${host}${path}`, {
				dispatcher,
				headers: {authorization: `Bearer ${token}`},
				signal: AbortSignal.timeout(requestTimeoutMs),
			});
			const text = await response.body.text();
			return parseResponse(response.statusCode, text);
		} catch (error) {
			return Err(`does not answer: ${describeError(error as Error)}`);
		}
	};
}

function parseResponse(status: number, text: string): Result<unknown, string> {
	if (status === unauthorizedStatus) {
		return Err('does not accept the token');
	}

	return status === okStatus
		? Ok(JSON.parse(text))
		: Err(`answers with status ${status}`);
}

function describeError(error: Error): string {
	if (error.name === 'TimeoutError') {
		return `no answer within ${requestTimeoutMs} ms`;
	}

	const {code} = error as NodeJS.ErrnoException;
	return error.message === '' ? (code ?? error.name) : error.message;
}
