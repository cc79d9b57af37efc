/** An HTTP client for text responses from one address, with one connection at a time. */

import {TransferPatience, type Clock} from '@bilberryscale/core';
import {Connection, type ResponseFlood} from '@bilberryscale/daemon/edge';
import {Err, type Result} from 'ts-results-es';
import {FloodPause} from '../targets/flood-pause.js';
import {
	fetchText,
	type FetchError,
	type TextRequest,
	type TextResponse,
} from './fetch-text.js';

/** The address to connect to. */
export type TextClientOptions = {
	readonly clock: Clock;
	/** IP address and port. */
	readonly address: string;
	/** The local IP address to connect from. */
	readonly localAddress: string;
	/** Called when the address has sent bytes without end, with the pause in which nothing is sent to it, in milliseconds. */
	readonly onFlood?:
		((flood: ResponseFlood, pauseMs: number) => void) | undefined;
};

/** Holds one connection and leaves an address alone for a time that sends bytes without end; the caller must renew it after a failed request, because it can't be used any more. */
export class TextClient {
	readonly #options: TextClientOptions;
	readonly #floodPause = new FloodPause();
	readonly #patience = new TransferPatience();
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
	 * @returns The response, or why there is none; the latter at once after a flood.
	 */
	async fetch(
		request: Omit<TextRequest, 'connection' | 'clock' | 'patience'>,
	): Promise<Result<TextResponse, FetchError>> {
		const {clock} = this.#options;
		const pauseMs = this.#floodPause.untilMs - clock.monotonicMs();
		if (pauseMs > 0) {
			const detail = `it sent bytes without end and is left alone for ${Math.ceil(pauseMs)} ms`;
			return Err({detail});
		}

		const connection = this.#connection;
		const response = await fetchText({
			...request,
			connection,
			clock,
			patience: this.#patience.factor,
		});
		if (response.isOk()) {
			this.#floodPause.addResponse();
			this.#patience.addSuccess();
		} else {
			this.#patience.addFailure(response.error.hasProgressed === true);
		}

		return response;
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
		return new Connection({
			origin: `http://${address}`,
			localAddress,
			onFlood: (flood) => {
				this.#addFlood(flood);
			},
		});
	}

	#addFlood(flood: ResponseFlood): void {
		const {clock, onFlood} = this.#options;
		const pauseMs = this.#floodPause.addFlood(clock.monotonicMs());
		if (pauseMs !== undefined) {
			onFlood?.(flood, pauseMs);
		}
	}
}
