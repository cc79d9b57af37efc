/** Tracks caller connections and the responses pending on each of them. */

import type {IncomingMessage, ServerResponse} from 'node:http';
import type {Socket} from 'node:net';
import {
	makeId,
	notRunFailure,
	type Failure,
	type RequestId,
} from '@bilberryscale/core';
import {uuidv7} from 'uuidv7';
import {getProblemAnswer} from './problem-answer.js';

type ConnectionState = {
	pendingCount: number;
	/** The latest request on the connection. */
	request: IncomingMessage;
	/** The response to the latest request. */
	response: ServerResponse;
	/** Whether the bytes after the latest request failed to parse as HTTP. */
	hasParseError: boolean;
	/** Whether a response that closes the connection has been chosen. */
	isClosing: boolean;
};

/**
 * Counts the pending responses of each connection, so that a connection is
 * closed only after its last response and no problem document is written to
 * the socket between responses.
 */
export class CallerConnections {
	readonly #states = new WeakMap<Socket, ConnectionState>();

	/**
	 * Registers a request whose response is pending.
	 *
	 * @param request - The request.
	 * @param response - The response to the request.
	 * @returns Whether the connection still accepts requests; false once a
	 * response that closes it has been chosen.
	 */
	addRequest(request: IncomingMessage, response: ServerResponse): boolean {
		const state = this.#states.get(request.socket);
		if (state === undefined) {
			this.#states.set(request.socket, {
				pendingCount: 1,
				request,
				response,
				hasParseError: false,
				isClosing: false,
			});
			return true;
		}

		if (state.isClosing) {
			return false;
		}

		state.pendingCount++;
		state.request = request;
		state.response = response;
		return true;
	}

	/**
	 * Marks the connection as closing after the response to a request, unless a
	 * later request has arrived on it.
	 *
	 * @param request - The request.
	 * @returns Whether the connection closes after that response.
	 */
	closeAfterResponse(request: IncomingMessage): boolean {
		const state = this.#states.get(request.socket);
		if (state?.request !== request) {
			return false;
		}

		state.isClosing = true;
		return true;
	}

	/**
	 * Unregisters a request whose response has closed, and ends the connection if
	 * a parse error was waiting for the last pending response.
	 *
	 * @param socket - The connection of the request.
	 */
	removeRequest(socket: Socket): void {
		const state = this.#states.get(socket);
		if (state === undefined) {
			return;
		}

		state.pendingCount--;
		if (state.pendingCount === 0 && state.hasParseError) {
			socket.end();
		}
	}

	/**
	 * Handles bytes that could not be parsed as a request: rejects them with a
	 * problem document or, if responses to earlier requests are pending, ends the
	 * connection after those.
	 *
	 * @param error - The parse error.
	 * @param socket - The connection.
	 */
	handleParseError(error: NodeJS.ErrnoException, socket: Socket): void {
		if (!socket.writable || error.code === 'ECONNRESET') {
			socket.destroy();
			return;
		}

		const state = this.#states.get(socket);
		if (
			state === undefined ||
			state.pendingCount === 0 ||
			isBodyOfPendingRequest(state)
		) {
			writeProblem(socket, getParseFailure(error));
			return;
		}

		state.hasParseError = true;
	}
}

/**
 * Writes a problem document to a socket that has no response object, and closes it.
 *
 * @param socket - The connection.
 * @param failure - Why the request was rejected.
 */
export function writeProblem(socket: Socket, failure: Failure): void {
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

/** Tells whether the bytes belong to the body of the only pending request. */
function isBodyOfPendingRequest({
	pendingCount,
	request,
	response,
}: ConnectionState): boolean {
	return pendingCount === 1 && !request.complete && !response.headersSent;
}

function getParseFailure({code}: NodeJS.ErrnoException): Failure {
	if (code === 'HPE_HEADER_OVERFLOW') {
		return notRunFailure(
			'header-too-large',
			'The head of the request is too large.',
		);
	}

	return code === 'ERR_HTTP_REQUEST_TIMEOUT'
		? notRunFailure('body-timeout', 'The head of the request came too slowly.')
		: notRunFailure('bad-request', `The request is not HTTP: ${code}.`);
}
