/** Reads published knowledge from a host that reads the store. */

import type {Clock} from '@bilberryscale/core';
import {
	JSONRPCClient,
	type JSONRPCRequest,
	type JSONRPCResponse,
} from 'json-rpc-2.0';
import {Err, Ok, type Result} from 'ts-results-es';
import {TextClient, type TextClientOptions} from '../edge/text-client.js';
import type {
	PublishedChanges,
	PublishedReader,
	ReadFault,
} from '../snapshot/snapshot-source.js';
import {knowledgeMethod, type KnowledgeQuery} from './knowledge-server.js';

/** Which host is read. */
export type PeerReaderOptions = TextClientOptions & {
	/** Told when the host has answered. */
	readonly onAnswer: () => void;
};

/** How long the other host waits for changes, in milliseconds. */
const waitMs = 500;
/** How much longer an answer may take, in milliseconds. */
const answerTimeoutMs = 300;

/** A reader of one other host. */
export class PeerReader implements PublishedReader {
	readonly #options: PeerReaderOptions;
	readonly #client: TextClient;

	/**
	 * @param options - Which host is read.
	 */
	constructor(options: PeerReaderOptions) {
		this.#options = options;
		this.#client = new TextClient(options);
	}

	get name(): string {
		return `host ${this.#options.address}`;
	}

	get isStore(): boolean {
		return false;
	}

	async readAll(): Promise<Result<PublishedChanges, ReadFault>> {
		return this.#read({waitMs: 0});
	}

	async readChanges(
		revision: number,
		mayWait: boolean,
	): Promise<Result<PublishedChanges, ReadFault>> {
		return this.#read({after: revision, waitMs: mayWait ? waitMs : 0});
	}

	/** Closes the connection. */
	close(): void {
		this.#client.close();
	}

	async #read(
		query: KnowledgeQuery,
	): Promise<Result<PublishedChanges, ReadFault>> {
		const client = new JSONRPCClient(async (request) => {
			client.receive(await this.#send(request as JSONRPCRequest, query));
		});
		try {
			return Ok(
				(await client.request(knowledgeMethod, query)) as PublishedChanges,
			);
		} catch (error) {
			this.#client.renew();
			return Err({isHistoryGone: false, detail: (error as Error).message});
		}
	}

	async #send(
		request: JSONRPCRequest,
		query: KnowledgeQuery,
	): Promise<JSONRPCResponse> {
		const response = await this.#client.fetch({
			method: 'POST',
			path: '/',
			body: JSON.stringify(request),
			timeoutMs: query.waitMs + answerTimeoutMs,
		});
		if (response.isErr()) {
			throw new Error(response.error);
		}

		this.#options.onAnswer();

		return JSON.parse(response.value.text) as JSONRPCResponse;
	}
}
