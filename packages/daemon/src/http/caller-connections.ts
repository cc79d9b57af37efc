/** Tracks caller connections and the responses pending on each of them. */

import type {IncomingMessage, ServerResponse} from 'node:http';
import type {Socket} from 'node:net';
import {
	makeId,
	notRunFailure,
	type Clock,
	type Failure,
	type RequestId,
} from '@bilberryscale/core';
import {uuidv7} from 'uuidv7';
import {getProblemAnswer} from './problem-answer.js';

type ConnectionState = {
	pendingCount: number;
	/** The latest request on the connection; undefined before the first. */
	request: IncomingMessage | undefined;
	/** The response to the latest request. */
	response: ServerResponse | undefined;
	/** Whether the bytes after the latest request failed to parse as HTTP. */
	hasParseError: boolean;
	/** Whether later requests are left unread, as a response that closes the connection has been chosen or the server drains. */
	isClosing: boolean;
	cancelLinger: (() => void) | undefined;
	/** Called for the open requests when the connection closes. */
	readonly endRequests: Set<() => void>;
};

/** How long a connection stays open for its caller to read the last response and close it, in milliseconds. */
const lingerTimeoutMs = 1000;

/**
 * Counts the pending responses of each connection, so that a connection is
 * closed only after its last response and no problem document is written to
 * the socket between responses.
 *
 * @remarks Connections are closed in order: after the last response this end is
 * shut down, and what still arrives is read and dropped until the caller closes
 * its end. Closing the socket with unread bytes would reset the connection, and
 * the caller could lose the response.
 */
export class CallerConnections {
	readonly #clock: Clock;
	readonly #states = new Map<Socket, ConnectionState>();

	/**
	 * @param clock - The clock.
	 */
	constructor(clock: Clock) {
		this.#clock = clock;
	}

	/** The number of connections that aren't closed at both ends. */
	get size(): number {
		return this.#states.size;
	}

	/**
	 * Registers a connection, unless it is registered already.
	 *
	 * @param socket - The connection.
	 */
	addConnection(socket: Socket): void {
		this.#getState(socket);
	}

	/**
	 * Registers a request whose response is pending.
	 *
	 * @param request - The request.
	 * @param response - The response to the request.
	 * @returns Whether the connection still accepts requests; false once a
	 * response that closes it has been chosen.
	 */
	addRequest(request: IncomingMessage, response: ServerResponse): boolean {
		const state = this.#getState(request.socket);
		if (state.isClosing) {
			request.resume();
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
	 * Calls back once when a response has closed, or its connection: a response
	 * that waits behind earlier ones does not close with it.
	 *
	 * @param socket - The connection.
	 * @param response - The response.
	 * @param onEnd - Called at the end.
	 */
	onRequestEnd(
		socket: Socket,
		response: ServerResponse,
		onEnd: () => void,
	): void {
		const {endRequests} = this.#getState(socket);
		const end = () => {
			if (endRequests.delete(end)) {
				onEnd();
			}
		};

		endRequests.add(end);
		response.once('close', end);
	}

	/**
	 * Unregisters a request whose response has closed, and closes the connection if
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
			this.close(socket);
		}
	}

	/** Accepts no more requests on any connection, and closes each after its last pending response. */
	drain(): void {
		for (const [socket, state] of this.#states) {
			if (state.pendingCount === 0) {
				this.close(socket);
			} else {
				state.isClosing = true;
			}
		}
	}

	/**
	 * Closes a connection in order: once its bytes are written, the caller has some
	 * time to close the other end.
	 *
	 * @param socket - The connection.
	 */
	close(socket: Socket): void {
		const state = this.#states.get(socket);
		if (state === undefined || socket.destroyed) {
			return;
		}

		state.isClosing = true;
		const linger = () => {
			state.cancelLinger ??= this.#clock.schedule(lingerTimeoutMs, () => {
				socket.destroy();
			});
		};

		if (socket.writableFinished) {
			linger();
		} else {
			socket.once('finish', linger);
			socket.end();
		}
	}

	#getState(socket: Socket): ConnectionState {
		const existing = this.#states.get(socket);
		if (existing !== undefined) {
			return existing;
		}

		const state: ConnectionState = {
			pendingCount: 0,
			request: undefined,
			response: undefined,
			hasParseError: false,
			isClosing: false,
			cancelLinger: undefined,
			endRequests: new Set(),
		};
		this.#states.set(socket, state);
		socket.once('close', () => {
			state.cancelLinger?.();
			for (const end of state.endRequests) {
				end();
			}

			this.#states.delete(socket);
		});
		// Node calls this after a response that closes the connection; its own version doesn't wait for the caller.
		socket.destroySoon = () => {
			this.close(socket);
		};

		return state;
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
		if (state?.isClosing === true && state.pendingCount === 0) {
			return;
		}

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
	socket.write(
		`HTTP/1.1 ${answer.status} Refused\r\n${head}\r\n${answer.body.toString()}`,
	);
	socket.destroySoon();
}

/** Tells whether the bytes belong to the body of the only pending request. */
function isBodyOfPendingRequest({
	pendingCount,
	request,
	response,
}: ConnectionState): boolean {
	return (
		pendingCount === 1 &&
		request?.complete === false &&
		response?.headersSent === false
	);
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
