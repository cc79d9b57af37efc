/** The server that callers of the gateway talk to. */

import {createServer, type Server} from 'node:http';
import {
	makeCallerListener,
	type CallerListenerOptions,
} from '@bilberryscale/daemon/edge';
import type {Endpoint} from '../context/gateway-settings.js';

/** The largest head that any plan may allow, in bytes. */
const mostHeaderBytes = 65_536;
/** How long a connection may be idle if no plan says so, in milliseconds. */
const defaultIdleTimeoutMs = 15_000;
/** How long the head of a request may take, in milliseconds. */
const headTimeoutMs = 10_000;
const headCheckMs = 1000;

/** Listens for callers by Node's own server, which loads faster than Fastify. */
export class CallerEdge {
	readonly #server: Server;

	/**
	 * @param options - The way of a call.
	 */
	constructor(options: CallerListenerOptions) {
		const listener = makeCallerListener(options);
		this.#server = createServer({
			maxHeaderSize: mostHeaderBytes,
			headersTimeout: headTimeoutMs,
			requestTimeout: 0,
			keepAliveTimeout: defaultIdleTimeoutMs,
			connectionsCheckingInterval: headCheckMs,
			requireHostHeader: false,
		});
		this.#server.on('request', listener.onRequest);
		this.#server.on('connect', listener.onConnect);
		this.#server.on('checkExpectation', listener.onExpectation);
		this.#server.on('clientError', listener.onBadBytes);
	}

	/**
	 * Takes over how long connections may be idle.
	 *
	 * @param idleTimeoutMs - The time in milliseconds.
	 */
	setIdleTimeout(idleTimeoutMs: number): void {
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
