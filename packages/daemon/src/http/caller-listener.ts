/** What happens to the requests of callers, whatever server takes them. */

import type {IncomingMessage, ServerResponse} from 'node:http';
import type {Socket} from 'node:net';
import {Readable} from 'node:stream';
import {
	makeId,
	notRun,
	perhapsRun,
	type Clock,
	type Failure,
	type RequestId,
} from '@bilberryscale/core';
import {uuidv7} from 'uuidv7';
import {Exchange, type Answer} from '../pipeline/exchange.js';
import type {Pipeline} from '../pipeline/filter.js';
import {CallerConnections, writeRefusal} from './caller-connections.js';
import {ownProtocol, type CallerProtocol} from './caller-protocol.js';
import {getRequestFailure} from './check-request.js';
import {addIssuedKey, scopeToKey} from './key-scope.js';
import {getProblemAnswer} from './problem.js';
import {writeAnswer} from './write-answer.js';

/** Takes what should not happen. */
export type CallerLog = {
	error(message: string, fields: Readonly<Record<string, unknown>>): unknown;
};

/** What the listener works with. */
export type CallerListenerOptions = {
	readonly pipeline: Pipeline;
	readonly clock: Clock;
	readonly log: CallerLog;
	/** Why no work is taken now; undefined while it is. */
	readonly getClosedFailure: () => Failure | undefined;
	/** Whether connections close with their next answer, as the host leaves. */
	readonly isLeaving?: () => boolean;
	/** The names and the form of headers. */
	readonly protocol?: CallerProtocol;
};

/** What a server does with what comes from callers. */
export type CallerListener = {
	readonly onRequest: (
		request: IncomingMessage,
		response: ServerResponse,
	) => void;
	readonly onConnect: (request: IncomingMessage, socket: Socket) => void;
	readonly onExpectation: (
		request: IncomingMessage,
		response: ServerResponse,
	) => void;
	readonly onBadBytes: (error: NodeJS.ErrnoException, socket: Socket) => void;
};

const requestIdPattern = /^[\w\-]{1,64}$/v;

/**
 * Makes the listener.
 *
 * @param options - The way of a call.
 * @returns What a server does with what comes from callers.
 */
export function makeCallerListener(
	options: CallerListenerOptions,
): CallerListener {
	const connections = new CallerConnections();
	return {
		onRequest(request, response) {
			void serve(request, response, connections, options);
		},
		onConnect(_request, socket) {
			writeRefusal(
				socket,
				notRun('method-unsupported', 'No tunnels are made.'),
			);
		},
		onExpectation(request, response) {
			refuseExpectation(request, response, options);
		},
		onBadBytes(error, socket) {
			connections.refuseBytes(error, socket);
		},
	};
}

async function serve(
	request: IncomingMessage,
	response: ServerResponse,
	connections: CallerConnections,
	options: CallerListenerOptions,
): Promise<void> {
	const {clock, getClosedFailure, isLeaving, protocol = ownProtocol} = options;
	if (!connections.begin(request, response)) {
		return;
	}

	const controller = new AbortController();
	response.once('close', () => {
		connections.end(request.socket);
		if (!response.writableFinished) {
			controller.abort();
		}
	});
	const exchange = makeExchange(request, options, controller.signal);
	const {requestId} = exchange.incoming;
	const failure = getRequestFailure(request);
	const answer =
		failure === undefined
			? await getAnswer(exchange, options)
			: getProblemAnswer(failure, requestId, protocol);
	if (response.destroyed || controller.signal.aborted) {
		discard(answer);
		return;
	}

	const isClosed = () =>
		getClosedFailure() !== undefined || isLeaving?.() === true;
	response.once('finish', () => {
		if (isClosed() && connections.closeAfter(request)) {
			request.socket.end();
		}
	});
	const mustClose =
		failure !== undefined ||
		isClosed() ||
		!request.complete ||
		answer.isOpenEnded === true;
	const isLast = mustClose && connections.closeAfter(request);
	const delivery = {request, response, requestId, isLast, clock, protocol};
	if (answer.isOpenEnded === true && !isLast) {
		discard(answer);
		const problem = perhapsRun(
			'target-failed',
			'The answer ends with its connection, on which others are still due.',
		);
		writeAnswer({
			...delivery,
			answer: getProblemAnswer(problem, requestId, protocol),
		});
		return;
	}

	writeAnswer({...delivery, answer});
}

function makeExchange(
	request: IncomingMessage,
	{clock, protocol = ownProtocol}: CallerListenerOptions,
	signal: AbortSignal,
): Exchange {
	const {originalUrl = request.url} = request as IncomingMessage & {
		originalUrl?: string;
	};
	return new Exchange({
		requestId: getRequestId(request, protocol),
		method: request.method ?? 'GET',
		url: originalUrl ?? '/',
		headers: request.headers,
		body: request,
		receivedAtMs: clock.monotonicMs(),
		signal,
	});
}

function getRequestId(
	request: IncomingMessage,
	{requestIdHeader}: CallerProtocol,
): RequestId {
	const given = request.headers[requestIdHeader];
	const isUsable = typeof given === 'string' && requestIdPattern.test(given);
	return makeId<RequestId>(isUsable ? given : uuidv7());
}

async function getAnswer(
	exchange: Exchange,
	options: CallerListenerOptions,
): Promise<Answer> {
	const {requestId} = exchange.incoming;
	const refuse = (failure: Failure) =>
		getProblemAnswer(
			scopeToKey(failure, exchange),
			requestId,
			options.protocol,
		);
	const closed = options.getClosedFailure();
	if (closed !== undefined) {
		return refuse(closed);
	}

	try {
		const result = await options.pipeline(exchange);
		const answer = result.isOk() ? result.value : refuse(result.error);
		return addIssuedKey(answer, exchange);
	} catch (error) {
		options.log.error('call failed inside the host', {
			requestId,
			cause: (error as Error).stack,
		});
		return refuse(perhapsRun('internal', 'The entry host failed.'));
	}
}

/** Ends an answer that nobody waits for. */
function discard({body}: Answer): void {
	if (body instanceof Readable) {
		body.on('error', () => undefined);
		body.destroy();
	}
}

function refuseExpectation(
	request: IncomingMessage,
	response: ServerResponse,
	{clock, protocol = ownProtocol}: CallerListenerOptions,
): void {
	const requestId = getRequestId(request, protocol);
	const expected = String(request.headers.expect);
	const failure = notRun('bad-request', `"${expected}" cannot be met.`);
	const answer = getProblemAnswer(failure, requestId, protocol);
	const isLast = true;
	writeAnswer({request, response, requestId, answer, isLast, clock, protocol});
}
