/** A target that responds according to the request path and records every exchange. */

import http, {type IncomingMessage, type ServerResponse} from 'node:http';
import {text} from 'node:stream/consumers';
import type {TargetLocation} from '@bilberryscale/standins';
import type {RecordedExchange} from './recorded-exchange.js';

type ScriptedResponse = {
	readonly status: number;
	readonly headers: Record<string, string>;
	readonly body: string;
};

const refusalResponse: ScriptedResponse = {
	status: 503,
	headers: {'x-run-state': 'not-run', 'x-load-in-flight': '4'},
	body: '',
};

const notFoundResponse: ScriptedResponse = {
	status: 404,
	headers: {},
	body: 'no such text',
};

const defaultResponse: ScriptedResponse = {
	status: 200,
	headers: {
		'content-type': 'text/plain',
		'x-boot-id': 'boot-1',
		'x-load-in-flight': '1',
		'keep-alive': 'timeout=5',
	},
	body: 'the whole answer',
};

const responseByPath = new Map([
	['/refuse', refusalResponse],
	['/missing', notFoundResponse],
]);

/** A target of a session. */
export class ScriptedTarget {
	readonly #location: TargetLocation;
	readonly #onExchange: (exchange: RecordedExchange) => void;
	readonly #server: http.Server;
	#heldRequests: Array<() => void> = [];

	/**
	 * @param location - The identity and the address of the target.
	 * @param onExchange - Called with each exchange.
	 */
	constructor(
		location: TargetLocation,
		onExchange: (exchange: RecordedExchange) => void,
	) {
		this.#location = location;
		this.#onExchange = onExchange;
		this.#server = http.createServer((request, response) => {
			void this.#handle(request, response);
		});
	}

	/** Gets the number of requests to `/hold` that wait for their response. */
	get heldRequestCount(): number {
		return this.#heldRequests.length;
	}

	/** Starts listening. */
	async listen(): Promise<void> {
		const {address, port} = this.#location;
		await new Promise<void>((resolve, reject) => {
			this.#server.once('error', reject);
			this.#server.listen(port, address, resolve);
		});
	}

	/** Responds to all waiting requests to `/hold`. */
	releaseHeldRequests(): void {
		for (const release of this.#heldRequests) {
			release();
		}

		this.#heldRequests = [];
	}

	/** Stops listening and closes every connection. */
	close(): void {
		this.#server.close();
		this.#server.closeAllConnections();
	}

	async #handle(
		request: IncomingMessage,
		response: ServerResponse,
	): Promise<void> {
		const body = await text(request);
		const path = request.url ?? '/';
		if (path === '/fail') {
			this.#recordExchange(request, body, 'the connection closed');
			request.socket.destroy();
			return;
		}

		if (path === '/hold') {
			await new Promise<void>((resolve) => {
				this.#heldRequests.push(resolve);
			});
		}

		const scriptedResponse = responseByPath.get(path) ?? defaultResponse;
		this.#recordExchange(request, body, scriptedResponse);
		response.writeHead(scriptedResponse.status, scriptedResponse.headers);
		response.end(scriptedResponse.body);
	}

	#recordExchange(
		request: IncomingMessage,
		body: string,
		outcome: ScriptedResponse | string,
	): void {
		this.#onExchange({
			between: 'entry and target',
			request: {
				method: request.method ?? '',
				path: `${this.#location.id}:${request.url}`,
				headers: request.headers,
				...(body !== '' && {body}),
			},
			answer: outcome,
		});
	}
}
