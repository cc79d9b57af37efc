/** Handles requests from callers, independently of the HTTP server that accepts them. */

import type {IncomingMessage, ServerResponse} from 'node:http';
import type {Socket} from 'node:net';
import {Readable} from 'node:stream';
import {
	notRunFailure,
	possiblyRunFailure,
	type Clock,
	type Failure,
	type RequestId,
} from '@bilberryscale/core';
import {
	Exchange,
	type Answer,
	type IncomingCall,
} from '../pipeline/exchange.js';
import type {Pipeline} from '../pipeline/filter.js';
import {processByteBudget} from '../buffers/byte-budget.js';
import {CallerConnections, writeProblem} from './caller-connections.js';
import {defaultCallerProtocol, type CallerProtocol} from './caller-protocol.js';
import {checkRequest} from './check-request.js';
import type {OpenRequest} from './open-request.js';
import {addIssuedKey, scopeRunStateToKey} from './scope-run-state.js';
import {getProblemAnswer} from './problem-answer.js';
import {checkRequestId, getRequestId} from './request-id.js';
import {writeAnswer} from './write-answer.js';

/** Logs unexpected errors. */
export type CallerLog = {
	error(message: string, fields: Readonly<Record<string, unknown>>): unknown;
};

/** The dependencies of the listener. */
export type CallerListenerOptions = {
	readonly pipeline: Pipeline;
	readonly clock: Clock;
	readonly log: CallerLog;
	/** Gets why the host accepts no requests now; undefined while it accepts them. */
	readonly getUnavailableFailure: () => Failure | undefined;
	/** Whether connections close after their next response, such as during a shutdown. */
	readonly isClosingConnections?: () => boolean;
	/** Called when a request is rejected for its head. */
	readonly onRejection?: (requestId: RequestId, failure: Failure) => void;
	/** Names and formats of the headers; {@link defaultCallerProtocol} by default. */
	readonly protocol?: CallerProtocol;
};

/** Handlers for the events of an HTTP server. */
export type CallerListener = {
	readonly onConnection: (socket: Socket) => void;
	readonly onRequest: (
		request: IncomingMessage,
		response: ServerResponse,
	) => void;
	/** Handles a request whose body is sent only when the host asks for it (`Expect: 100-continue`). */
	readonly onContinue: (
		request: IncomingMessage,
		response: ServerResponse,
	) => void;
	readonly onConnect: (request: IncomingMessage, socket: Socket) => void;
	readonly onExpectation: (
		request: IncomingMessage,
		response: ServerResponse,
	) => void;
	readonly onClientError: (
		error: NodeJS.ErrnoException,
		socket: Socket,
	) => void;
	/** Gets the requests whose answers the operating system hasn't taken yet. */
	readonly getOpenRequests: () => readonly OpenRequest[];
	/** Gets the number of connections that aren't closed at both ends. */
	readonly getConnectionCount: () => number;
	/** Accepts no more requests, and closes each connection after its last pending response. */
	readonly drain: () => void;
	/** Answers all requests that have no response yet: with the failure that their run state calls for. */
	readonly endRequests: () => void;
	/**
	 * Refuses the requests that no target has got yet and that none could answer before the host shuts down.
	 *
	 * @returns These requests.
	 */
	readonly refuseLateRequests: () => readonly OpenRequest[];
};

/** Retry delay for callers whose request a host ended without sending it, in milliseconds; others serve them at once. */
const endedRetryAfterMs = 20;
/** Retry delay for callers whose request was refused for want of memory, in milliseconds. */
const memoryRetryAfterMs = 200;

/**
 * Makes the listener.
 *
 * @param options - The request pipeline and the other dependencies.
 * @returns Handlers for the events of an HTTP server.
 */
export function makeCallerListener(
	options: CallerListenerOptions,
): CallerListener {
	const connections = new CallerConnections(options.clock);
	const exchanges: ListenerState['exchanges'] = new Map();
	return {
		onConnection(socket) {
			connections.addConnection(socket);
		},
		onRequest(request, response) {
			void handleRequest(request, response, {connections, exchanges}, options);
		},
		onContinue(request, response) {
			const state = {connections, exchanges, isBodyAwaited: true};
			void handleRequest(request, response, state, options);
		},
		getOpenRequests: () =>
			[...exchanges].map(([response, {exchange}]) =>
				describeOpenRequest(response, exchange),
			),
		getConnectionCount: () => connections.size,
		drain() {
			connections.drain();
		},
		endRequests() {
			for (const {end} of exchanges.values()) {
				end();
			}
		},
		refuseLateRequests() {
			const late = [...exchanges].filter(
				([response, {exchange}]) =>
					!response.headersSent &&
					!exchange.mayHaveRun &&
					!exchange.incoming.signal.aborted &&
					exchange.isTooLate?.() === true,
			);
			for (const [, {end}] of late) {
				end();
			}

			return late.map(([response, {exchange}]) =>
				describeOpenRequest(response, exchange),
			);
		},
		onConnect(_request, socket) {
			writeProblem(
				socket,
				notRunFailure('method-unsupported', 'No tunnels are made.'),
			);
		},
		onExpectation(request, response) {
			rejectExpectation(request, response, options);
		},
		onClientError(error, socket) {
			connections.handleParseError(error, socket);
		},
	};
}

type ListenerState = {
	readonly connections: CallerConnections;
	/** The open requests, by their responses. */
	readonly exchanges: Map<
		ServerResponse,
		{
			readonly exchange: Exchange;
			/** Ends the request without waiting for its result. */
			readonly end: () => void;
		}
	>;
	/** Whether the caller waits until it is asked for the body. */
	readonly isBodyAwaited?: boolean;
};

async function handleRequest(
	request: IncomingMessage,
	response: ServerResponse,
	{connections, exchanges, isBodyAwaited = false}: ListenerState,
	options: CallerListenerOptions,
): Promise<void> {
	const {
		clock,
		getUnavailableFailure,
		isClosingConnections,
		protocol = defaultCallerProtocol,
	} = options;
	// A request after a response that closes the connection gets no response.
	if (!connections.addRequest(request, response)) {
		return;
	}

	const controller = new AbortController();
	let endWith: (failure: Failure) => void = () => undefined;
	const lease = processByteBudget.lease(() => {
		if (response.headersSent) {
			// A reset shows the caller that the answer is not whole, however its end is marked.
			request.socket.resetAndDestroy();
		} else {
			endWith(makeMemoryFailure(exchange));
		}
	});
	// A response that waits behind others is not closed with its connection.
	connections.onRequestEnd(request.socket, response, () => {
		lease.release();
		exchanges.delete(response);
		connections.removeRequest(request.socket);
		if (!response.writableFinished) {
			controller.abort();
		}
	});
	const requestBody = () => {
		// A response whose head is sent takes the place of the interim one.
		if (!response.headersSent) {
			response.writeContinue();
		}
	};

	const exchange = makeExchange(request, options, {
		signal: controller.signal,
		lease,
		...(isBodyAwaited && {requestBody}),
	});
	const {requestId} = exchange.incoming;
	const ended = new Promise<Answer>((resolve) => {
		endWith = (failure) => {
			if (response.headersSent) {
				return;
			}

			const scoped = scopeRunStateToKey(failure, exchange);
			controller.abort();
			resolve(getProblemAnswer(scoped, requestId, protocol));
		};

		const end = () => {
			endWith(getEndFailure(exchange));
		};

		exchanges.set(response, {exchange, end});
	});
	const failure =
		checkRequest(request) ?? checkRequestId(request, protocol.requestIdHeader);
	if (failure !== undefined) {
		options.onRejection?.(requestId, failure);
	}

	const result =
		failure === undefined
			? getAnswer(exchange, options)
			: getProblemAnswer(failure, requestId, protocol);
	const answer = await Promise.race([ended, result]);
	void discardOther(result, answer);
	if (response.destroyed || request.socket.destroyed) {
		discardBody(answer);
		return;
	}

	const isHostClosing = () =>
		getUnavailableFailure() !== undefined || isClosingConnections?.() === true;
	response.once('finish', () => {
		if (isHostClosing() && connections.closeAfterResponse(request)) {
			connections.close(request.socket);
		}
	});
	const mustClose =
		failure !== undefined ||
		isHostClosing() ||
		!request.complete ||
		answer.isCloseDelimited === true;
	const isLastOnConnection =
		mustClose && connections.closeAfterResponse(request);
	const deliveryOptions = {
		request,
		response,
		requestId,
		isLastOnConnection,
		clock,
		protocol,
	};
	if (answer.isCloseDelimited === true && !isLastOnConnection) {
		discardBody(answer);
		const problem = possiblyRunFailure(
			'target-failed',
			'The answer ends with its connection, on which others are still due.',
		);
		writeAnswer({
			...deliveryOptions,
			answer: getProblemAnswer(problem, requestId, protocol),
		});
		return;
	}

	writeAnswer({...deliveryOptions, answer});
}

function describeOpenRequest(
	{headersSent}: ServerResponse,
	{incoming, mayHaveRun, lastCopy, getExpectedMs}: Exchange,
): OpenRequest {
	const {requestId, receivedAtMs} = incoming;
	const unansweredPhase = mayHaveRun ? 'sent' : 'waiting';
	return {
		requestId,
		receivedAtMs,
		phase: headersSent ? 'answering' : unansweredPhase,
		lastCopy,
		expectedMs: lastCopy?.expectedMs ?? getExpectedMs?.(),
	};
}

function makeExchange(
	request: IncomingMessage,
	{clock, protocol = defaultCallerProtocol}: CallerListenerOptions,
	control: Pick<IncomingCall, 'requestBody' | 'signal' | 'lease'>,
): Exchange {
	// Fastify keeps the URL from before `rewriteUrl` in `originalUrl`.
	const {originalUrl = request.url} = request as IncomingMessage & {
		originalUrl?: string;
	};
	return new Exchange({
		requestId: getRequestId(request, protocol.requestIdHeader),
		method: request.method ?? 'GET',
		url: originalUrl ?? '/',
		headers: request.headers,
		rawHeaders: request.rawHeaders,
		body: request,
		receivedAtMs: clock.monotonicMs(),
		...control,
	});
}

async function getAnswer(
	exchange: Exchange,
	options: CallerListenerOptions,
): Promise<Answer> {
	const {requestId} = exchange.incoming;
	const makeProblem = (failure: Failure) =>
		getProblemAnswer(
			scopeRunStateToKey(failure, exchange),
			requestId,
			options.protocol,
		);
	const unavailableFailure = options.getUnavailableFailure();
	if (unavailableFailure !== undefined) {
		return makeProblem(unavailableFailure);
	}

	try {
		const result = await options.pipeline(exchange);
		const answer = result.isOk() ? result.value : makeProblem(result.error);
		return addIssuedKey(answer, exchange);
	} catch (error) {
		options.log.error('call failed inside the host', {
			requestId,
			cause: (error as Error).stack,
		});
		return makeProblem(
			possiblyRunFailure('internal', 'The entry host failed.'),
		);
	}
}

/** Gets the failure of a request that ends before its result is known. */
function getEndFailure(exchange: Exchange): Failure {
	return exchange.mayHaveRun
		? possiblyRunFailure(
				'deadline-exceeded',
				'This host shuts down before the target has answered.',
			)
		: notRunFailure(
				'shutting-down',
				'This host shuts down before a target could answer.',
				endedRetryAfterMs,
			);
}

/** Gets the failure of a request for which the host has no memory left. */
function makeMemoryFailure(exchange: Exchange): Failure {
	const detail = 'The messages that this host holds need too much memory.';
	return exchange.mayHaveRun
		? possiblyRunFailure('internal', detail)
		: notRunFailure('over-capacity', detail, memoryRetryAfterMs);
}

/** Discards a result that came after another answer was sent. */
async function discardOther(
	result: Answer | Promise<Answer>,
	sent: Answer,
): Promise<void> {
	const other = await result;
	if (other !== sent) {
		discardBody(other);
	}
}

/** Destroys the body of an answer that is not sent. */
function discardBody({body}: Answer): void {
	if (body instanceof Readable) {
		body.on('error', () => undefined);
		body.destroy();
	}
}

function rejectExpectation(
	request: IncomingMessage,
	response: ServerResponse,
	{clock, protocol = defaultCallerProtocol}: CallerListenerOptions,
): void {
	const requestId = getRequestId(request, protocol.requestIdHeader);
	const expected = String(request.headers.expect);
	const failure = notRunFailure('bad-request', `"${expected}" cannot be met.`);
	const answer = getProblemAnswer(failure, requestId, protocol);
	const isLastOnConnection = true;
	writeAnswer({
		request,
		response,
		requestId,
		answer,
		isLastOnConnection,
		clock,
		protocol,
	});
}
