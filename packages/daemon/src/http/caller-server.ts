/** The HTTP server for callers, built on Fastify. */

import type {Socket} from 'node:net';
import {fastify, type FastifyInstance} from 'fastify';
import {
	makeCallerListener,
	type CallerListener,
	type CallerListenerOptions,
} from './caller-listener.js';

/** Options of the server. */
export type CallerServerOptions = CallerListenerOptions & {
	/** The maximum size of a request head, in bytes. */
	readonly headerBytes: number;
	/** How long the head of a request may take to arrive, in milliseconds. */
	readonly headTimeoutMs?: number;
};

/** A server that can answer all open requests at once, before its process exits. */
export type CallerServer = FastifyInstance &
	Pick<CallerListener, 'endRequests' | 'refuseLateRequests'>;

const defaultHeadTimeoutMs = 10_000;
const headChecksPerTimeout = 10;

/**
 * Makes the server without starting to listen.
 *
 * @param options - The request pipeline and the limits of request heads.
 * @returns The server.
 */
export function makeCallerServer(options: CallerServerOptions): CallerServer {
	const listener = makeCallerListener(options);
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
			listener.onClientError(error, socket);
		},
	});
	server.addHook('onRequest', (request, reply, _done) => {
		void reply.hijack();
		listener.onRequest(request.raw, reply.raw);
	});
	server.server.on('connection', listener.onConnection);
	server.server.closeIdleConnections = () => {
		// Node's own version also destroys connections whose last response isn't written yet.
		listener.drain();
	};

	server.server.on('checkContinue', listener.onContinue);
	server.server.on('connect', listener.onConnect);
	server.server.on('checkExpectation', listener.onExpectation);
	return Object.assign(server, {
		endRequests() {
			listener.endRequests();
		},
		refuseLateRequests: () => listener.refuseLateRequests(),
	});
}
