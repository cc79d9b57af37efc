/** The connections of callers and the answers that each still waits for. */

import type {IncomingMessage, ServerResponse} from 'node:http';
import type {Socket} from 'node:net';
import {
	makeId,
	notRun,
	type Failure,
	type RequestId,
} from '@bilberryscale/core';
import {uuidv7} from 'uuidv7';
import {getProblemAnswer} from './problem.js';

type OpenCalls = {
	count: number;
	request: IncomingMessage;
	response: ServerResponse;
	/** Whether the bytes after the newest request are not HTTP. */
	isBroken: boolean;
	/** Whether an answer that closes the connection was written. */
	isClosing: boolean;
};

/** Knows which connections wait for answers, so that none is cut or crossed. */
export class CallerConnections {
	readonly #calls = new WeakMap<Socket, OpenCalls>();

	/**
	 * Counts a call that begins.
	 *
	 * @param request - The request.
	 * @param response - The answer to come.
	 * @returns Whether the connection still takes calls.
	 */
	begin(request: IncomingMessage, response: ServerResponse): boolean {
		const calls = this.#calls.get(request.socket);
		if (calls === undefined) {
			this.#calls.set(request.socket, {
				count: 1,
				request,
				response,
				isBroken: false,
				isClosing: false,
			});
			return true;
		}

		if (calls.isClosing) {
			return false;
		}

		calls.count++;
		calls.request = request;
		calls.response = response;
		return true;
	}

	/**
	 * Closes the connection with the answer of a call, if no call came after it.
	 *
	 * @param request - The request of the call.
	 * @returns Whether the answer closes the connection.
	 */
	closeAfter(request: IncomingMessage): boolean {
		const calls = this.#calls.get(request.socket);
		if (calls?.request !== request) {
			return false;
		}

		calls.isClosing = true;
		return true;
	}

	/**
	 * Counts a call whose answer has ended.
	 *
	 * @param socket - The connection of the call.
	 */
	end(socket: Socket): void {
		const calls = this.#calls.get(socket);
		if (calls === undefined) {
			return;
		}

		calls.count--;
		if (calls.count === 0 && calls.isBroken) {
			socket.end();
		}
	}

	/**
	 * Answers bytes that are not a request, after the answers before them.
	 *
	 * @param error - Why the bytes could not be parsed.
	 * @param socket - The connection.
	 */
	refuseBytes(error: NodeJS.ErrnoException, socket: Socket): void {
		if (!socket.writable || error.code === 'ECONNRESET') {
			socket.destroy();
			return;
		}

		const calls = this.#calls.get(socket);
		if (calls === undefined || calls.count === 0 || isOwnBody(calls)) {
			writeRefusal(socket, describeError(error));
			return;
		}

		calls.isBroken = true;
	}
}

/**
 * Writes a refusal where there is no response object, and closes.
 *
 * @param socket - The connection.
 * @param failure - Why it is refused.
 */
export function writeRefusal(socket: Socket, failure: Failure): void {
	const answer = getProblemAnswer(failure, makeId<RequestId>(uuidv7()));
	const head = Object.entries({...answer.headers, connection: 'close'})
		.map(([name, value]) => `${name}: ${String(value)}\r\n`)
		.join('');
	socket.end(
		`HTTP/1.1 ${answer.status} Refused\r\n${head}\r\n${answer.body.toString()}`,
		() => {
			socket.destroy();
		},
	);
}

/** Tells whether the bytes are the body of the one call that is open. */
function isOwnBody({count, request, response}: OpenCalls): boolean {
	return count === 1 && !request.complete && !response.headersSent;
}

function describeError({code}: NodeJS.ErrnoException): Failure {
	if (code === 'HPE_HEADER_OVERFLOW') {
		return notRun('header-too-large', 'The head of the request is too large.');
	}

	return code === 'ERR_HTTP_REQUEST_TIMEOUT'
		? notRun('body-timeout', 'The head of the request came too slowly.')
		: notRun('bad-request', `The request is not HTTP: ${code}.`);
}
