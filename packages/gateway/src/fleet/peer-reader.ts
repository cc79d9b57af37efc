/** Reads published changes from another host instead of the store. */

import type {Clock, TransferPace} from '@bilberryscale/core';
import {
	JSONRPCClient,
	type JSONRPCRequest,
	type JSONRPCResponse,
} from 'json-rpc-2.0';
import {Err, Ok, type Result} from 'ts-results-es';
import type {FetchError, TransferProgress} from '../edge/fetch-text.js';
import {TextClient, type TextClientOptions} from '../edge/text-client.js';
import type {
	PublishedChanges,
	SnapshotSource,
	StorePosition,
	ReadError,
} from '../snapshot/snapshot-source.js';
import {decodePublishedChanges} from './decode-published-changes.js';
import {snapshotMethod, type SnapshotQuery} from './snapshot-server.js';

/** The address of the host to read from, and the handler of its responses. */
export type PeerReaderOptions = TextClientOptions & {
	/** Called when the host has responded. */
	readonly onResponse: () => void;
	/** Whether the host is in another data centre, so that its responses should be compressed. */
	readonly isFar: boolean;
	/** How long a response may take to begin beyond the wait for a change, in milliseconds; 300 by default. */
	readonly responseMarginMs?: number;
	/** How slow a response may be once it has begun; by default, a slow one is left for the next source at first. */
	readonly pace?: TransferPace;
};

/** How long a response may take to begin beyond that wait by default, in milliseconds. */
const defaultResponseMarginMs = 300;
const defaultPace: TransferPace = {graceMs: 150, bytesPerSecond: 1_048_576};

/** Carries the reason for a missing response through the JSON-RPC client. */
class PeerFetchError extends Error {
	override readonly name = 'PeerFetchError';
	readonly progress: TransferProgress | undefined;

	constructor({detail, progress}: FetchError) {
		super(detail);
		this.progress = progress;
	}
}

/** Reads from one other host over JSON-RPC 2.0. */
export class PeerReader implements SnapshotSource {
	readonly #options: PeerReaderOptions;
	readonly #httpClient: TextClient;
	/** How often the snapshot of the other host had been confirmed in its last response. */
	#confirmationCount: number | undefined;

	/**
	 * @param options - The host to read from.
	 */
	constructor(options: PeerReaderOptions) {
		this.#options = options;
		this.#httpClient = new TextClient(options);
	}

	get name(): string {
		return `host ${this.#options.address}`;
	}

	get isStore(): boolean {
		return false;
	}

	async readAll(): Promise<Result<PublishedChanges, ReadError>> {
		return this.#read({waitMs: 0});
	}

	async readChanges(
		{era, revision}: StorePosition,
		waitMs: number,
	): Promise<Result<PublishedChanges, ReadError>> {
		const confirmationCount = this.#confirmationCount;
		return this.#read({
			era,
			after: revision,
			waitMs: Math.floor(waitMs),
			...(confirmationCount !== undefined && {confirmationCount}),
		});
	}

	/** Closes the connection. */
	close(): void {
		this.#httpClient.close();
	}

	async #read(
		query: SnapshotQuery,
	): Promise<Result<PublishedChanges, ReadError>> {
		const rpcClient = new JSONRPCClient(async (request) => {
			rpcClient.receive(await this.#sendRpc(request as JSONRPCRequest, query));
		});
		try {
			const result: unknown = await rpcClient.request(snapshotMethod, query);
			const changes = decodePublishedChanges(result);
			if (changes !== undefined) {
				this.#confirmationCount = changes.confirmationCount;
				return Ok(changes);
			}

			this.#httpClient.reconnect();
			return Err({
				isHistoryGone: false,
				detail: 'the response holds no valid list of changes',
			});
		} catch (error) {
			this.#httpClient.reconnect();
			const {message: detail} = error as Error;
			const progress =
				error instanceof PeerFetchError ? error.progress : undefined;
			return Err({isHistoryGone: false, detail, progress});
		}
	}

	async #sendRpc(
		request: JSONRPCRequest,
		query: SnapshotQuery,
	): Promise<JSONRPCResponse> {
		const {
			isFar,
			responseMarginMs = defaultResponseMarginMs,
			pace = defaultPace,
		} = this.#options;
		const response = await this.#httpClient.fetch({
			method: 'POST',
			path: '/',
			body: JSON.stringify(request),
			acceptsGzip: isFar,
			timeoutMs: query.waitMs + responseMarginMs,
			pace,
		});
		if (response.isErr()) {
			throw new PeerFetchError(response.error);
		}

		this.#options.onResponse();

		return parseRpcOrThrow(response.value.text);
	}
}

/** The parser's own message quotes the text, which may hold keys of client accounts. */
function parseRpcOrThrow(text: string): JSONRPCResponse {
	try {
		return JSON.parse(text) as JSONRPCResponse;
	} catch {
		throw new Error('the response is not JSON');
	}
}
