/** The server that callers talk to. */

import type {Socket} from 'node:net';
import {fastify, type FastifyInstance} from 'fastify';
import {
	makeCallerListener,
	type CallerListenerOptions,
} from './caller-listener.js';

/** What the server works with. */
export type CallerServerOptions = CallerListenerOptions & {
	/** The largest head of a request, in bytes. */
	readonly headerBytes: number;
	/** How long the head of a request may take, in milliseconds. */
	readonly headTimeoutMs?: number;
};

const defaultHeadTimeoutMs = 10_000;
const headChecksPerTimeout = 10;

/**
 * Makes the server; it does not listen yet.
 *
 * @param options - The way of a call and the bounds of the protocol.
 * @returns The server.
 */
export function makeCallerServer(
	options: CallerServerOptions,
): FastifyInstance {
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
			listener.onBadBytes(error, socket);
		},
	});
	server.addHook('onRequest', (request, reply, _done) => {
		void reply.hijack();
		listener.onRequest(request.raw, reply.raw);
	});
	server.server.on('connect', listener.onConnect);
	server.server.on('checkExpectation', listener.onExpectation);
	return server;
}
