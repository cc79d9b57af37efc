/** Asks one address for texts, on one connection at a time. */

import type {Clock} from '@bilberryscale/core';
import {Connection} from '@bilberryscale/daemon/edge';
import type {Result} from 'ts-results-es';
import {fetchText, type TextRequest, type TextResponse} from './fetch-text.js';

/** Whom the client asks. */
export type TextClientOptions = {
	readonly clock: Clock;
	/** IP number and port. */
	readonly address: string;
	/** The local IP number that connections leave from. */
	readonly localAddress: string;
};

/** A connection that its user renews, since one on which an answer was lost gives nothing any more. */
export class TextClient {
	readonly #options: TextClientOptions;
	#connection: Connection;

	/**
	 * @param options - Whom to ask.
	 */
	constructor(options: TextClientOptions) {
		this.#options = options;
		this.#connection = this.#connect();
	}

	/**
	 * Sends a request and reads its whole answer.
	 *
	 * @param request - The request.
	 * @returns The answer, or why there is none.
	 */
	async fetch(
		request: Omit<TextRequest, 'connection' | 'clock'>,
	): Promise<Result<TextResponse, string>> {
		const {clock} = this.#options;
		return fetchText({...request, connection: this.#connection, clock});
	}

	/** Cuts the connection and takes a new one. */
	renew(): void {
		this.#connection.destroy();
		this.#connection = this.#connect();
	}

	/** Cuts the connection. */
	close(): void {
		this.#connection.destroy();
	}

	#connect(): Connection {
		const {address, localAddress} = this.#options;
		return new Connection({origin: `http://${address}`, localAddress});
	}
}
