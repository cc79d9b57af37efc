/** A target that answers by the path of the request and records all. */

import http, {type IncomingMessage, type ServerResponse} from 'node:http';
import {text} from 'node:stream/consumers';
import type {TargetPlace} from '@bilberryscale/standins';
import type {RecordedExchange} from './recorded-exchange.js';

type ScriptedAnswer = {
	readonly status: number;
	readonly headers: Record<string, string>;
	readonly body: string;
};

const refusal: ScriptedAnswer = {
	status: 503,
	headers: {'x-run-state': 'not-run', 'x-load-in-flight': '4'},
	body: '',
};

const missing: ScriptedAnswer = {
	status: 404,
	headers: {},
	body: 'no such text',
};

const usualAnswer: ScriptedAnswer = {
	status: 200,
	headers: {
		'content-type': 'text/plain',
		'x-boot-id': 'boot-1',
		'x-load-in-flight': '1',
		'keep-alive': 'timeout=5',
	},
	body: 'the whole answer',
};

const answers = new Map([
	['/refuse', refusal],
	['/missing', missing],
]);

/** One target of a session. */
export class ScriptedTarget {
	readonly #place: TargetPlace;
	readonly #record: (exchange: RecordedExchange) => void;
	readonly #server: http.Server;
	#held: Array<() => void> = [];

	/**
	 * @param place - Where it listens.
	 * @param record - Takes each exchange.
	 */
	constructor(
		place: TargetPlace,
		record: (exchange: RecordedExchange) => void,
	) {
		this.#place = place;
		this.#record = record;
		this.#server = http.createServer((request, response) => {
			void this.#handle(request, response);
		});
	}

	/** Gets how many requests to `/hold` wait for their answer. */
	get heldCount(): number {
		return this.#held.length;
	}

	/** Starts to listen. */
	async listen(): Promise<void> {
		const {address, port} = this.#place;
		await new Promise<void>((resolve, reject) => {
			this.#server.once('error', reject);
			this.#server.listen(port, address, resolve);
		});
	}

	/** Answers the requests to `/hold`. */
	releaseHeld(): void {
		for (const release of this.#held) {
			release();
		}

		this.#held = [];
	}

	/** Stops to listen and cuts every connection. */
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
			this.#add(request, body, 'the connection closed');
			request.socket.destroy();
			return;
		}

		if (path === '/hold') {
			await new Promise<void>((resolve) => {
				this.#held.push(resolve);
			});
		}

		const answer = answers.get(path) ?? usualAnswer;
		this.#add(request, body, answer);
		response.writeHead(answer.status, answer.headers);
		response.end(answer.body);
	}

	#add(
		request: IncomingMessage,
		body: string,
		answer: ScriptedAnswer | string,
	): void {
		this.#record({
			between: 'entry and target',
			request: {
				method: request.method ?? '',
				path: `${this.#place.id}:${request.url}`,
				headers: request.headers,
				...(body !== '' && {body}),
			},
			answer,
		});
	}
}
