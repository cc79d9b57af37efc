/** Serves this host's snapshot to other hosts over JSON-RPC 2.0. */

import {Buffer} from 'node:buffer';
import {
	createServer,
	type IncomingMessage,
	type Server,
	type ServerResponse,
} from 'node:http';
import {promisify} from 'node:util';
import {constants, gzip} from 'node:zlib';
import {limitConnections} from '@bilberryscale/daemon/pacing';
import {
	isJSONRPCRequest,
	JSONRPCServer,
	type JSONRPCRequest,
} from 'json-rpc-2.0';
import type {Endpoint} from '../context/gateway-settings.js';
import {listenOn} from '../edge/listen.js';
import type {EventLog} from '../records/event-log.js';
import type {SnapshotFeed} from '../snapshot/snapshot-feed.js';

/** The parameters of a read. */
export type SnapshotQuery = {
	/** The era of that revision; hosts of an earlier version send none, and the current one is assumed. */
	readonly era?: number;
	/** The revision that the reader has; absent if it has none. */
	readonly after?: number;
	/** How long to wait for a newer revision, in milliseconds. */
	readonly waitMs: number;
	/** How often the snapshot had been confirmed in the last response; the wait ends when that changes. Absent for a wait that does not. */
	readonly confirmationCount?: number;
};

/** The JSON-RPC method that returns the published changes. */
export const snapshotMethod = 'knowledge.read';

const maxWaitMs = 2000;
const maxRequestBytes = 4096;
/** Each host that reads has one; beyond this, a new connection takes the place of the oldest. */
const maxConnections = 1024;
const badRequestStatus = 400;
/** Smaller responses fit into a packet and are not compressed. */
const minCompressedBytes = 1400;
/** Lowest level: hosts have a fraction of a core, and many read at once after a common start. */
const compressionLevel = constants.Z_BEST_SPEED;

const compress = promisify(gzip);

/** Serves the changes that a host's feed has read. */
export class SnapshotServer {
	readonly #httpServer: Server;
	readonly #rpcServer: JSONRPCServer;

	/**
	 * @param feed - The feed whose changes are served.
	 * @param log - The log of refused requests.
	 */
	constructor(feed: SnapshotFeed, log: EventLog) {
		this.#rpcServer = new JSONRPCServer({
			errorListener(_message, error) {
				log.write('request of a host refused', {detail: String(error)});
			},
		});
		this.#rpcServer.addMethod(snapshotMethod, async (query: unknown) => {
			const {
				after,
				era = feed.position.era,
				waitMs,
				confirmationCount,
			} = decodeQueryOrThrow(query);
			if (after === undefined) {
				return feed.getChangesAfter(undefined);
			}

			const position = {era, revision: after};
			const heldMs = await feed.waitForChange(
				position,
				Math.min(waitMs, maxWaitMs),
				confirmationCount,
			);
			return {...feed.getChangesAfter(position), heldMs};
		});
		this.#httpServer = createServer((request, response) => {
			void this.#handleRequest(request, response);
		});
		limitConnections(this.#httpServer, maxConnections);
	}

	/**
	 * Starts to listen.
	 *
	 * @param endpoint - The address and port.
	 */
	async listen(endpoint: Endpoint): Promise<void> {
		await listenOn(this.#httpServer, endpoint);
	}

	/** Closes the server and its connections. */
	close(): void {
		this.#httpServer.close();
		this.#httpServer.closeAllConnections();
	}

	async #handleRequest(
		request: IncomingMessage,
		response: ServerResponse,
	): Promise<void> {
		const rpcRequest = await readRpcRequest(request);
		if (rpcRequest === undefined) {
			// What is left of the request is not read.
			response.writeHead(badRequestStatus, {connection: 'close'});
			response.end();
			return;
		}

		const rpcResponse = await this.#rpcServer.receive(rpcRequest);
		response.setHeader('content-type', 'application/json');
		const body = Buffer.from(JSON.stringify(rpcResponse));
		const isCompressed =
			body.length >= minCompressedBytes &&
			request.headers['accept-encoding'] === 'gzip';
		if (isCompressed) {
			response.setHeader('content-encoding', 'gzip');
		}

		response.end(
			isCompressed ? await compress(body, {level: compressionLevel}) : body,
		);
	}
}

function decodeQueryOrThrow(value: unknown): SnapshotQuery {
	const {after, era, waitMs, confirmationCount} = (value ?? {}) as Record<
		string,
		unknown
	>;
	const isValid =
		isOptionalCount(after) &&
		isOptionalCount(era) &&
		isOptionalCount(confirmationCount) &&
		Number.isFinite(waitMs);
	if (!isValid) {
		throw new TypeError(`not a query: ${JSON.stringify(value)}`);
	}

	return value as SnapshotQuery;
}

function isOptionalCount(value: unknown): boolean {
	return value === undefined || Number.isSafeInteger(value);
}

async function readRpcRequest(
	request: IncomingMessage,
): Promise<JSONRPCRequest | undefined> {
	const chunks: Buffer[] = [];
	let size = 0;
	try {
		for await (const chunk of request as AsyncIterable<Buffer>) {
			size += chunk.length;
			if (size > maxRequestBytes) {
				return undefined;
			}

			chunks.push(chunk);
		}

		const value: unknown = JSON.parse(Buffer.concat(chunks).toString());
		return isJSONRPCRequest(value) ? value : undefined;
	} catch {
		// The peer disconnected or sent invalid JSON.
		return undefined;
	}
}
