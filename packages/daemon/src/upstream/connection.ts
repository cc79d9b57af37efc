/** A connection to a target. */

import {buildConnector, Client, type Dispatcher} from 'undici';
import type {TargetRequest} from './target-request.js';

/** Options of a connection. */
export type ConnectionOptions = {
	readonly origin: string;
	/** The local IP address that the connection is opened from. */
	readonly localAddress: string;
};

const idleTimeoutMs = 10_000;
const connectTimeoutMs = 1000;

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
	#socketError: Error | undefined;

	/**
	 * @param options - The origin and the local address.
	 */
	constructor(options: ConnectionOptions) {
		this.#client = new Client(options.origin, {
			pipelining: 1,
			keepAliveTimeout: idleTimeoutMs,
			headersTimeout: 0,
			bodyTimeout: 0,
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
		this.#client.dispatch(request, handler);
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
		const connect = buildConnector({timeout: connectTimeoutMs});
		return (options, callback) => {
			this.#socketError = undefined;
			connect(options, (...outcome) => {
				outcome[1]?.once('error', (error: Error) => {
					this.#socketError = error;
				});
				callback(...outcome);
			});
		};
	}
}
