/** One connection to a target and what it did last. */

import {Client, type Dispatcher} from 'undici';

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
			connect: {timeout: connectTimeoutMs},
		});
	}

	/**
	 * Sends a request.
	 *
	 * @param request - The request.
	 * @param handler - Takes what happens to it.
	 */
	dispatch(
		request: Dispatcher.DispatchOptions,
		handler: Dispatcher.DispatchHandler,
	): void {
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
}
