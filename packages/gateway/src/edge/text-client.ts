/** An HTTP client for text responses from one address, with one connection at a time. */

import type {Clock} from '@bilberryscale/core';
import {Connection} from '@bilberryscale/daemon/edge';
import type {Result} from 'ts-results-es';
import {fetchText, type TextRequest, type TextResponse} from './fetch-text.js';

/** The address to connect to. */
export type TextClientOptions = {
	readonly clock: Clock;
	/** IP address and port. */
	readonly address: string;
	/** The local IP address to connect from. */
	readonly localAddress: string;
};

/** Holds one connection; the caller must renew it after a failed request, because it can't be used any more. */
export class TextClient {
	readonly #options: TextClientOptions;
	#connection: Connection;

	/**
	 * @param options - The address to connect to.
	 */
	constructor(options: TextClientOptions) {
		this.#options = options;
		this.#connection = this.#connect();
	}

	/**
	 * Sends a request and reads the complete response.
	 *
	 * @param request - The request.
	 * @returns The response, or an error message.
	 */
	async fetch(
		request: Omit<TextRequest, 'connection' | 'clock'>,
	): Promise<Result<TextResponse, string>> {
		const {clock} = this.#options;
		return fetchText({...request, connection: this.#connection, clock});
	}

	/** Destroys the connection and opens a new one. */
	reconnect(): void {
		this.#connection.destroy();
		this.#connection = this.#connect();
	}

	/** Destroys the connection. */
	close(): void {
		this.#connection.destroy();
	}

	#connect(): Connection {
		const {address, localAddress} = this.#options;
		return new Connection({origin: `http://${address}`, localAddress});
	}
}
