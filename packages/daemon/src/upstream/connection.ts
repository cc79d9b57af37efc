/** A connection to a target. */

import {buildConnector, Client, type Dispatcher} from 'undici';
import {MeteredSocket} from './metered-socket.js';
import type {ResponseFlood} from './response-flood.js';
import type {TargetRequest} from './target-request.js';

/** Options of a connection. */
export type ConnectionOptions = {
	readonly origin: string;
	/** The local IP address that the connection is opened from. */
	readonly localAddress: string;
	/** Called when the target sent bytes without end, for which its connection is closed. */
	readonly onFlood?: ((flood: ResponseFlood) => void) | undefined;
};

const idleTimeoutMs = 10_000;
const connectTimeoutMs = 1000;
const connectorOptions = {
	timeout: connectTimeoutMs,
	/** A socket receives nothing while it holds as much that was not parsed, in bytes. */
	highWaterMark: 16_384,
};
const maxHeaderSize = 131_072;

/** A connection that opens on its first request and reopens after it was closed. */
export class Connection {
	/** When the latest response began; undefined before the first. */
	answeredAtMs: number | undefined;
	/** When the connection last changed from idle to busy. */
	startedAtMs = 0;
	/** How many requests that began after `startedAtMs` were answered on other connections. */
	overtakenCount = 0;
	/** Whether the request that made the connection busy is safe to send again. */
	isIdempotent = true;
	/** How many requests are in flight or queued on the connection. */
	requestCount = 0;
	readonly #client: Client;
	readonly #onFlood: (flood: ResponseFlood) => void;
	#socketError: Error | undefined;
	#meter: MeteredSocket | undefined;
	/** The request that was sent last. */
	#current: TargetRequest | undefined;

	/**
	 * @param options - The origin and the local address.
	 */
	constructor(options: ConnectionOptions) {
		this.#onFlood = options.onFlood ?? (() => undefined);
		this.#client = new Client(options.origin, {
			pipelining: 1,
			keepAliveTimeout: idleTimeoutMs,
			headersTimeout: 0,
			bodyTimeout: 0,
			// The meter of the socket has a lower limit: undici goes on parsing after its own.
			maxHeaderSize,
			localAddress: options.localAddress,
			connect: this.#makeConnector(),
		});
	}

	/**
	 * Sends a request.
	 *
	 * @param request - The request.
	 * @param handler - Receives the events of the request.
	 */
	dispatch(request: Dispatcher.DispatchOptions, handler: TargetRequest): void {
		handler.getSocketError = () => this.#socketError;
		handler.onStart = () => {
			this.#current = handler;
			this.#meter?.startResponse();
		};

		handler.onResume = () => {
			this.#meter?.resume();
		};

		this.#client.dispatch(request, handler);
	}

	/**
	 * Reports a body that nobody uses and that is longer than what is worth reading.
	 *
	 * @param bytes - How much of it was read.
	 */
	reportUnusedBody(bytes: number): void {
		this.#onFlood({kind: 'unused body', bytes});
	}

	/** Closes the connection once its requests have ended. */
	async close(): Promise<void> {
		await this.#client.close();
	}

	/** Closes the connection immediately; its request fails. */
	destroy(): void {
		void this.#client.destroy();
	}

	/**
	 * Records the error of the socket: undici treats a reset as the regular end of
	 * a response without a length.
	 */
	#makeConnector(): buildConnector.connector {
		const connect = buildConnector(connectorOptions);
		return (options, callback) => {
			this.#socketError = undefined;
			connect(options, (...outcome) => {
				const [, socket] = outcome;
				socket?.once('error', (error: Error) => {
					this.#socketError = error;
				});
				if (socket !== undefined && socket !== null) {
					socket.once('end', () => {
						// A reset that arrives together with data is reported as an orderly end, but leaves no peer.
						if (socket.remoteAddress === undefined) {
							this.#socketError ??= new Error('the connection was reset');
						}
					});
					this.#meter = new MeteredSocket(socket, {
						getProgress: () => this.#current,
						onFlood: this.#onFlood,
					});
				}

				callback(...outcome);
			});
		};
	}
}
