/** Gives other hosts what this one knows, over JSON-RPC 2.0. */

import {Buffer} from 'node:buffer';
import {
	createServer,
	type IncomingMessage,
	type Server,
	type ServerResponse,
} from 'node:http';
import {JSONRPCServer, type JSONRPCRequest} from 'json-rpc-2.0';
import type {Endpoint} from '../context/gateway-settings.js';
import type {SnapshotFeed} from '../snapshot/snapshot-feed.js';

/** What a host asks for. */
export type KnowledgeQuery = {
	/** The revision that it knows; absent if it knows nothing. */
	readonly after?: number;
	/** How long it waits for a newer one, in milliseconds. */
	readonly waitMs: number;
};

/** The method that gives published changes. */
export const knowledgeMethod = 'knowledge.read';

const mostWaitMs = 2000;
const mostQueryBytes = 4096;
const badRequestStatus = 400;

/** Serves the knowledge of this host. */
export class KnowledgeServer {
	readonly #server: Server;
	readonly #rpc = new JSONRPCServer();

	/**
	 * @param feed - The knowledge.
	 */
	constructor(feed: SnapshotFeed) {
		this.#rpc.addMethod(knowledgeMethod, async (query: KnowledgeQuery) => {
			const {after, waitMs} = query;
			if (after !== undefined) {
				await feed.waitForChange(after, Math.min(waitMs, mostWaitMs));
			}

			return feed.getChangesAfter(after);
		});
		this.#server = createServer((request, response) => {
			void this.#serve(request, response);
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

	async #serve(
		request: IncomingMessage,
		response: ServerResponse,
	): Promise<void> {
		const query = await readQuery(request);
		if (query === undefined) {
			response.writeHead(badRequestStatus);
			response.end();
			return;
		}

		const answer = await this.#rpc.receive(query);
		response.setHeader('content-type', 'application/json');
		response.end(JSON.stringify(answer));
	}
}

async function readQuery(
	request: IncomingMessage,
): Promise<JSONRPCRequest | undefined> {
	const chunks: Buffer[] = [];
	let size = 0;
	try {
		for await (const chunk of request as AsyncIterable<Buffer>) {
			size += chunk.length;
			if (size > mostQueryBytes) {
				return undefined;
			}

			chunks.push(chunk);
		}

		return JSON.parse(Buffer.concat(chunks).toString()) as JSONRPCRequest;
	} catch {
		// The other host broke off, or sent no JSON: it gets no answer to use.
		return undefined;
	}
}
