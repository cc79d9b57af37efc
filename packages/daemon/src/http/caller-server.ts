/** The server that callers talk to. */

import type {IncomingMessage, ServerResponse} from 'node:http';
import type {Socket} from 'node:net';
import {Readable} from 'node:stream';
import {
	callerHeaders,
	makeId,
	notRun,
	perhapsRun,
	type Clock,
	type Failure,
	type RequestId,
} from '@bilberryscale/core';
import {fastify, type FastifyInstance} from 'fastify';
import {uuidv7} from 'uuidv7';
import type {Log} from '../logging/make-logger.js';
import {Exchange, type Answer} from '../pipeline/exchange.js';
import type {Pipeline} from '../pipeline/filter.js';
import {CallerConnections, writeRefusal} from './caller-connections.js';
import {getRequestFailure} from './check-request.js';
import {addIssuedKey, scopeToKey} from './key-scope.js';
import {getProblemAnswer} from './problem.js';
import {writeAnswer} from './write-answer.js';

/** What the server works with. */
export type CallerServerOptions = {
	readonly pipeline: Pipeline;
	readonly clock: Clock;
	readonly log: Log;
	/** The largest head of a request, in bytes. */
	readonly headerBytes: number;
	/** How long the head of a request may take, in milliseconds. */
	readonly headTimeoutMs?: number;
	/** Why no work is taken now; undefined while it is. */
	readonly getClosedFailure: () => Failure | undefined;
};

const defaultHeadTimeoutMs = 10_000;
const headChecksPerTimeout = 10;
const requestIdPattern = /^[\w\-]{1,64}$/v;

/**
 * Makes the server; it does not listen yet.
 *
 * @param options - The way of a call and the bounds of the protocol.
 * @returns The server.
 */
export function makeCallerServer(
	options: CallerServerOptions,
): FastifyInstance {
	const connections = new CallerConnections();
	const headTimeoutMs = options.headTimeoutMs ?? defaultHeadTimeoutMs;
	const server = fastify({
		logger: false,
		exposeHeadRoutes: false,
		requestTimeout: 0,
		return503OnClosing: false,
		forceCloseConnections: 'idle',
		rewriteUrl: () => '/',
		http: {
			maxHeaderSize: options.headerBytes,
			headersTimeout: headTimeoutMs,
			connectionsCheckingInterval: headTimeoutMs / headChecksPerTimeout,
			requireHostHeader: false,
		},
		clientErrorHandler(error: NodeJS.ErrnoException, socket: Socket) {
			connections.refuseBytes(error, socket);
		},
	});
	server.addHook('onRequest', (request, reply, _done) => {
		void reply.hijack();
		void serve(request.raw, reply.raw, connections, options);
	});
	server.server.on('connect', (_request: IncomingMessage, socket: Socket) => {
		writeRefusal(socket, notRun('method-unsupported', 'No tunnels are made.'));
	});
	server.server.on(
		'checkExpectation',
		(request: IncomingMessage, response: ServerResponse) => {
			refuseExpectation(request, response, options);
		},
	);
	return server;
}

async function serve(
	request: IncomingMessage,
	response: ServerResponse,
	connections: CallerConnections,
	options: CallerServerOptions,
): Promise<void> {
	const {clock, getClosedFailure} = options;
	connections.begin(request, response);
	const controller = new AbortController();
	response.once('close', () => {
		connections.end(request.socket);
		if (!response.writableFinished) {
			controller.abort();
		}
	});
	const exchange = makeExchange(request, clock, controller.signal);
	const {requestId} = exchange.incoming;
	const failure = getRequestFailure(request);
	const answer =
		failure === undefined
			? await getAnswer(exchange, options)
			: getProblemAnswer(failure, requestId);
	if (response.destroyed || controller.signal.aborted) {
		discard(answer);
		return;
	}

	const isClosed = () => getClosedFailure() !== undefined;
	response.once('finish', () => {
		if (isClosed()) {
			request.socket.end();
		}
	});
	const isLast = failure !== undefined || isClosed();
	writeAnswer({request, response, requestId, answer, isLast, clock});
}

function makeExchange(
	request: IncomingMessage,
	clock: Clock,
	signal: AbortSignal,
): Exchange {
	const {originalUrl} = request as IncomingMessage & {originalUrl?: string};
	return new Exchange({
		requestId: getRequestId(request),
		method: request.method ?? 'GET',
		url: originalUrl ?? '/',
		headers: request.headers,
		body: request,
		receivedAtMs: clock.monotonicMs(),
		signal,
	});
}

function getRequestId(request: IncomingMessage): RequestId {
	const given = request.headers[callerHeaders.requestId];
	const isUsable = typeof given === 'string' && requestIdPattern.test(given);
	return makeId<RequestId>(isUsable ? given : uuidv7());
}

async function getAnswer(
	exchange: Exchange,
	options: CallerServerOptions,
): Promise<Answer> {
	const {requestId} = exchange.incoming;
	const closed = options.getClosedFailure();
	if (closed !== undefined) {
		return getProblemAnswer(scopeToKey(closed, exchange), requestId);
	}

	try {
		const result = await options.pipeline(exchange);
		const answer = result.isOk()
			? result.value
			: getProblemAnswer(scopeToKey(result.error, exchange), requestId);
		return addIssuedKey(answer, exchange);
	} catch (error) {
		options.log.error('call failed inside the host', {
			requestId,
			cause: (error as Error).stack,
		});
		const unforeseen = perhapsRun('internal', 'The entry host failed.');
		return getProblemAnswer(unforeseen, requestId);
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
	{clock}: CallerServerOptions,
): void {
	const requestId = getRequestId(request);
	const expected = String(request.headers.expect);
	const failure = notRun('bad-request', `"${expected}" cannot be met.`);
	const answer = getProblemAnswer(failure, requestId);
	writeAnswer({request, response, requestId, answer, isLast: true, clock});
}
