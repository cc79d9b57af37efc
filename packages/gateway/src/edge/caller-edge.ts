/** The server that callers of the gateway talk to. */

import {createServer, type Server} from 'node:http';
import type {Socket} from 'node:net';
import type {Duplex} from 'node:stream';
import type {CallerListener} from '@bilberryscale/daemon/edge';
import type {Endpoint} from '../context/gateway-settings.js';
import type {CallerLimits} from '../plan/routing-plan.js';

/** The largest head that any plan may allow, in bytes. */
const mostHeaderBytes = 65_536;
/** How long a connection may be idle if no plan says so, in milliseconds. */
const defaultIdleTimeoutMs = 15_000;
/** How long the head of a request may take if no plan says so, in milliseconds. */
const headTimeoutMs = 10_000;
const headCheckMs = 1000;

/** How long callers may take. */
export type CallerTimeouts = Pick<
	CallerLimits,
	'headerTimeoutMs' | 'idleTimeoutMs'
>;

type Held = {
	readonly socket: Duplex;
	readonly pass: (listener: CallerListener) => void;
};

/** Listens for callers by Node's own server, which loads faster than Fastify, from before the rest is loaded. */
export class CallerEdge {
	readonly #server: Server;
	#listener: CallerListener | undefined;
	#held: Held[] = [];

	constructor() {
		this.#server = createServer({
			maxHeaderSize: mostHeaderBytes,
			headersTimeout: headTimeoutMs,
			requestTimeout: 0,
			keepAliveTimeout: defaultIdleTimeoutMs,
			connectionsCheckingInterval: headCheckMs,
			requireHostHeader: false,
		});
		this.#server.on('request', (request, response) => {
			this.#pass(request.socket, (listener) => {
				listener.onRequest(request, response);
			});
		});
		this.#server.on('connect', (request, socket) => {
			this.#pass(socket, (listener) => {
				listener.onConnect(request, socket as Socket);
			});
		});
		this.#server.on('checkExpectation', (request, response) => {
			this.#pass(request.socket, (listener) => {
				listener.onExpectation(request, response);
			});
		});
		this.#server.on('clientError', (error, socket) => {
			this.#pass(socket, (listener) => {
				listener.onBadBytes(error, socket as Socket);
			});
		});
	}

	/**
	 * Passes on what came so far, and all that comes from now on.
	 *
	 * @param listener - Takes what comes from callers.
	 */
	serve(listener: CallerListener): void {
		this.#listener = listener;
		const held = this.#held;
		this.#held = [];
		for (const {socket, pass} of held) {
			if (!socket.destroyed) {
				pass(listener);
			}
		}
	}

	#pass(socket: Duplex, pass: Held['pass']): void {
		if (this.#listener === undefined) {
			this.#held.push({socket, pass});
		} else {
			pass(this.#listener);
		}
	}

	/**
	 * Takes over how long callers may take.
	 *
	 * @param limits - The times for the head of a request and for an idle connection, in milliseconds.
	 */
	setTimeouts({headerTimeoutMs, idleTimeoutMs}: CallerTimeouts): void {
		this.#server.headersTimeout = headerTimeoutMs;
		this.#server.keepAliveTimeout = idleTimeoutMs;
	}

	/**
	 * Starts to listen.
	 *
	 * @param endpoint - Where.
	 */
	async listen({address, port}: Endpoint): Promise<void> {
		await new Promise<void>((resolve, reject) => {
			this.#server.once('error', reject);
			this.#server.listen({host: address, port}, resolve);
		});
	}

	/** Takes no new connections and closes those that are idle. */
	close(): void {
		this.#server.close();
		this.#server.closeIdleConnections();
	}

	/** Closes the connections that have become idle. */
	closeIdle(): void {
		this.#server.closeIdleConnections();
	}
}
