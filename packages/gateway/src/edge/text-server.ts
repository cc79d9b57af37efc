/** A small server of texts: readiness for the balancer, figures for a scraper. */

import {createServer, type Server} from 'node:http';
import type {Endpoint} from '../context/gateway-settings.js';

/** A text with its status. */
export type TextAnswer = {
	readonly status: number;
	readonly contentType: string;
	readonly text: string;
};

/** Serves the same text on every path. */
export class TextServer {
	readonly #server: Server;

	/**
	 * @param getAnswer - Gets the text at the time of a request.
	 */
	constructor(getAnswer: () => Promise<TextAnswer> | TextAnswer) {
		this.#server = createServer((request, response) => {
			request.resume();
			void (async () => {
				const {status, contentType, text} = await getAnswer();
				response.writeHead(status, {'content-type': contentType});
				response.end(text);
			})();
		});
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

	/** Closes the server and its connections. */
	close(): void {
		this.#server.close();
		this.#server.closeAllConnections();
	}
}
