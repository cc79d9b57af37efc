/** An HTTP server for plain text, such as readiness checks and metrics. */

import {createServer, type Server} from 'node:http';
import type {Endpoint} from '../context/gateway-settings.js';
import {listenOn} from './listen.js';

/** A response with a text body. */
export type TextServerResponse = {
	readonly status: number;
	readonly contentType: string;
	readonly text: string;
};

const internalErrorStatus = 500;

/** Serves the same response on every path. */
export class TextServer {
	readonly #server: Server;

	/**
	 * @param getResponse - Called for each request to get the current response.
	 */
	constructor(
		getResponse: () => Promise<TextServerResponse> | TextServerResponse,
	) {
		const getResponseOrError = async () => {
			try {
				return await getResponse();
			} catch (error) {
				return {
					status: internalErrorStatus,
					contentType: 'text/plain',
					text: `${(error as Error).message}\n`,
				};
			}
		};

		this.#server = createServer((request, response) => {
			request.resume();
			void (async () => {
				const {status, contentType, text} = await getResponseOrError();
				response.writeHead(status, {'content-type': contentType});
				response.end(text);
			})();
		});
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
}
