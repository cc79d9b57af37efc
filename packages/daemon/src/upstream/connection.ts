/** One connection to a target and what it did last. */

import {buildConnector, Client, type Dispatcher} from 'undici';
import type {TargetRequest} from './target-request.js';

/** How connections are opened and kept. */
export type ConnectionOptions = {
	readonly origin: string;
	/** The local IP number that the connection leaves from. */
	readonly localAddress: string;
};

const idleTimeoutMs = 10_000;
const connectTimeoutMs = 1000;

/** A connection that is opened at its first request and again after a close. */
export class Connection {
	/** When the newest answer began; undefined before the first. */
	answeredAtMs: number | undefined;
	/** When the newest request began. */
	startedAtMs = 0;
	/** How many requests that began later were answered on others meanwhile. */
	overtakenCount = 0;
	/** Whether the current request may be sent twice. */
	isIdempotent = true;
	/** How many requests it holds. */
	requestCount = 0;
	readonly #client: Client;
	#socketError: Error | undefined;

	/**
	 * @param options - How it is opened and kept.
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
	 * @param handler - Takes what happens to it.
	 */
	dispatch(request: Dispatcher.DispatchOptions, handler: TargetRequest): void {
		handler.getSocketError = () => this.#socketError;
		this.#client.dispatch(request, handler);
	}

	/** Closes the connection once its requests have ended. */
	async close(): Promise<void> {
		await this.#client.close();
	}

	/** Cuts the connection; its request fails. */
	destroy(): void {
		void this.#client.destroy();
	}

	/**
	 * Keeps the error of a socket, as undici takes a reset for the end of an
	 * answer without a length.
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
