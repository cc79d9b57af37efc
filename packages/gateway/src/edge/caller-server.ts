/** The HTTP server that accepts requests from callers. */

import {createServer, type Server} from 'node:http';
import type {Socket} from 'node:net';
import type {Duplex} from 'node:stream';
import type {CallerListener} from '@bilberryscale/daemon/edge';
import {RequestPacer} from '@bilberryscale/daemon/pacing';
import type {Endpoint} from '../context/gateway-settings.js';
import type {CallerLimits} from '../plan/routing-plan.js';
import {listenOn} from './listen.js';

/** Upper bound for the header size that a plan can allow, in bytes. */
const maxHeaderBytes = 65_536;
/** Idle timeout of connections until a plan is in force, in milliseconds. */
const defaultIdleTimeoutMs = 15_000;
/** Timeout for the headers of a request until a plan is in force, in milliseconds. */
const defaultHeaderTimeoutMs = 10_000;
/** How often the server looks for timed-out requests, in milliseconds. */
const timeoutCheckIntervalMs = 1000;

/** Timeouts of connections from callers. */
export type CallerTimeouts = Pick<
	CallerLimits,
	'headerTimeoutMs' | 'idleTimeoutMs'
>;

/** A server event that was received before a listener was set. */
type PendingEvent = {
	readonly socket: Duplex;
	readonly deliver: (listener: CallerListener) => void;
};

/**
 * Accepts connections from callers before the rest of the gateway is loaded, and queues their events until then.
 *
 * @remarks Uses Node's HTTP server because it loads faster than Fastify.
 */
export class CallerServer {
	readonly #server: Server;
	readonly #pacers = new Map<Duplex, RequestPacer>();
	#listener: CallerListener | undefined;
	#pendingEvents: PendingEvent[] = [];

	constructor() {
		this.#server = createServer({
			maxHeaderSize: maxHeaderBytes,
			headersTimeout: defaultHeaderTimeoutMs,
			requestTimeout: 0,
			keepAliveTimeout: defaultIdleTimeoutMs,
			connectionsCheckingInterval: timeoutCheckIntervalMs,
			requireHostHeader: false,
		});
		this.#server.on('connection', (socket) => {
			this.#pacers.set(socket, new RequestPacer(socket));
			socket.once('close', () => {
				this.#pacers.delete(socket);
			});
			this.#deliver(socket, (listener) => {
				listener.onConnection(socket);
			});
		});
		this.#server.on('request', (request, response) => {
			this.#pacers.get(request.socket)?.addRequest(request, response);
			this.#deliver(request.socket, (listener) => {
				listener.onRequest(request, response);
			});
		});
		this.#server.on('checkContinue', (request, response) => {
			this.#pacers.get(request.socket)?.addRequest(request, response);
			this.#deliver(request.socket, (listener) => {
				listener.onContinue(request, response);
			});
		});
		this.#server.on('connect', (request, socket) => {
			this.#pacers.get(socket)?.stop();
			this.#deliver(socket, (listener) => {
				listener.onConnect(request, socket as Socket);
			});
		});
		this.#server.on('checkExpectation', (request, response) => {
			this.#deliver(request.socket, (listener) => {
				listener.onExpectation(request, response);
			});
		});
		this.#server.on('clientError', (error, socket) => {
			this.#deliver(socket, (listener) => {
				listener.onClientError(error, socket as Socket);
			});
		});
	}

	/**
	 * Delivers all pending events and every later event to a listener.
	 *
	 * @param listener - Handles the events of the server.
	 */
	setListener(listener: CallerListener): void {
		this.#listener = listener;
		const pendingEvents = this.#pendingEvents;
		this.#pendingEvents = [];
		for (const {socket, deliver} of pendingEvents) {
			if (!socket.destroyed) {
				deliver(listener);
			}
		}
	}

	#deliver(socket: Duplex, deliver: PendingEvent['deliver']): void {
		if (this.#listener === undefined) {
			this.#pendingEvents.push({socket, deliver});
		} else {
			deliver(this.#listener);
		}
	}

	/**
	 * Sets the timeouts for callers.
	 *
	 * @param limits - The timeouts for request headers and for idle connections, in milliseconds.
	 */
	setTimeouts({headerTimeoutMs, idleTimeoutMs}: CallerTimeouts): void {
		this.#server.headersTimeout = headerTimeoutMs;
		this.#server.keepAliveTimeout = idleTimeoutMs;
	}

	/**
	 * Starts listening for connections.
	 *
	 * @param endpoint - The address and port to listen on.
	 */
	async listen(endpoint: Endpoint): Promise<void> {
		await listenOn(this.#server, endpoint);
	}

	/** Stops accepting connections and requests; each connection closes after its last pending response. */
	close(): void {
		for (const pacer of this.#pacers.values()) {
			pacer.parseAll();
		}

		// Node would also destroy connections whose last response isn't written yet.
		this.#server.closeIdleConnections = () => undefined;
		this.#server.close();
		this.#listener?.drain();
	}
}
