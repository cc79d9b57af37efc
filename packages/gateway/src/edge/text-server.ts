/** An HTTP server for plain text, such as readiness checks and metrics. */

import {createServer, type Server, type ServerResponse} from 'node:http';
import type {Clock} from '@bilberryscale/core';
import {limitConnections} from '@bilberryscale/daemon/pacing';
import type {Endpoint} from '../context/gateway-settings.js';
import {listenOn} from './listen.js';

/** A response with a text body. */
export type TextServerResponse = {
	readonly status: number;
	readonly contentType: string;
	readonly text: string;
};

const internalErrorStatus = 500;
/** Beyond this, a new connection takes the place of the oldest. */
const maxConnections = 64;
/** The shortest pause between two rounds of responses, in milliseconds. */
const minPauseMs = 10;
/** A pause is at least this many times as long as the round before it. */
const pauseFactor = 10;

/**
 * Serves the same response on every path.
 *
 * @remarks Requests that come soon after others are answered together, so that they take a small share of the time.
 */
export class TextServer {
	readonly #server: Server;
	readonly #clock: Clock;
	readonly #getResponse: () => Promise<TextServerResponse> | TextServerResponse;

	#waiting: ServerResponse[] = [];
	#isPaused = false;

	/**
	 * @param clock - The clock.
	 * @param getResponse - Called after requests have arrived to get the response to all of them.
	 */
	constructor(
		clock: Clock,
		getResponse: () => Promise<TextServerResponse> | TextServerResponse,
	) {
		this.#clock = clock;
		this.#getResponse = getResponse;
		this.#server = createServer((request, response) => {
			request.resume();
			this.#waiting.push(response);
			if (!this.#isPaused) {
				void this.#respond();
			}
		});
		limitConnections(this.#server, maxConnections);
	}

	/**
	 * Starts listening for connections.
	 *
	 * @param endpoint - The address and port to listen on.
	 */
	async listen(endpoint: Endpoint): Promise<void> {
		await listenOn(this.#server, endpoint);
	}

	/** Closes the server and all its connections. */
	close(): void {
		this.#server.close();
		this.#server.closeAllConnections();
	}

	/** Answers all requests that wait, and pauses. */
	async #respond(): Promise<void> {
		this.#isPaused = true;
		const startedAtMs = this.#clock.monotonicMs();
		const waiting = this.#waiting;
		this.#waiting = [];
		const {status, contentType, text} = await this.#getResponseOrError();
		for (const response of waiting) {
			response.writeHead(status, {'content-type': contentType});
			response.end(text);
		}

		const tookMs = this.#clock.monotonicMs() - startedAtMs;
		this.#clock.schedule(Math.max(minPauseMs, tookMs * pauseFactor), () => {
			this.#isPaused = false;
			if (this.#waiting.length > 0) {
				void this.#respond();
			}
		});
	}

	async #getResponseOrError(): Promise<TextServerResponse> {
		try {
			return await this.#getResponse();
		} catch (error) {
			return {
				status: internalErrorStatus,
				contentType: 'text/plain',
				text: `${(error as Error).message}\n`,
			};
		}
	}
}
