/** Asks entry hosts over their operators' ports. */

import {Err, Ok, type Result} from 'ts-results-es';
import {Agent, request} from 'undici';

/** One question to one host. */
export type HostQuestion = {
	/** The address and the port of the operators' port. */
	readonly host: string;
	/** The path with its query. */
	readonly path: string;
	readonly token: string;
};

/** Asks one host; gives the answer's document, or why there is none. */
export type HostQuery = (
	question: HostQuestion,
) => Promise<Result<unknown, string>>;

const timeoutMs = 3000;
const maxAnswerBytes = 32_000_000;
const success = 200;
const unauthorized = 401;

/**
 * Makes the query over HTTP.
 *
 * @returns The query.
 */
export function makeHostQuery(): HostQuery {
	const dispatcher = new Agent({
		maxResponseSize: maxAnswerBytes,
		connect: {timeout: timeoutMs},
		keepAliveTimeout: 1,
	});
	return async ({host, path, token}) => {
		try {
			const answer = await request(`http://${host}${path}`, {
				dispatcher,
				headers: {authorization: `Bearer ${token}`},
				signal: AbortSignal.timeout(timeoutMs),
			});
			const text = await answer.body.text();
			return readAnswer(answer.statusCode, text);
		} catch (error) {
			return Err(`does not answer: ${getCause(error as Error)}`);
		}
	};
}

function readAnswer(status: number, text: string): Result<unknown, string> {
	if (status === unauthorized) {
		return Err('does not accept the token');
	}

	return status === success
		? Ok(JSON.parse(text))
		: Err(`answers with status ${status}`);
}

function getCause(error: Error): string {
	if (error.name === 'TimeoutError') {
		return `no answer within ${timeoutMs} ms`;
	}

	const {code} = error as NodeJS.ErrnoException;
	return error.message === '' ? (code ?? error.name) : error.message;
}
