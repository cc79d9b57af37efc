/** Sends messages to one peer, as JSON-RPC over HTTPS. */

import {limitTransfer, systemClock, type Clock} from '@bilberryscale/core';
import {JSONRPCClient, type JSONRPCResponse} from 'json-rpc-2.0';
import {Err, Ok, type Result} from 'ts-results-es';
import {Pool, errors} from 'undici';
import type {z} from 'zod';
import type {PeerAddress} from '../membership/peer-address.js';
import type {TlsMaterial} from './tls-files.js';

/** The reason why a message has no valid reply. */
export type PeerError = {
	/** Whether the peer may have received the message. */
	readonly mayHaveReachedPeer: boolean;
	readonly cause: string;
};

/** The options of a `PeerClient`. */
export type PeerClientOptions = {
	readonly peer: PeerAddress;
	/** The certificate of this host; peers reject connections without one. */
	readonly tls: Partial<TlsMaterial>;
	/** The local IP address that connections are made from. */
	readonly localAddress: string;
	/** The clock for replies that may be long; that of the system by default. */
	readonly clock?: Clock;
};

type PostOptions = {
	readonly pool: Pool;
	readonly timeoutMs: number;
	/** The clock for a reply that may take longer while it makes progress; undefined for a fixed time. */
	readonly progressClock?: Clock | undefined;
};

const okStatus = 200;
const connectTimeoutMs = 1000;
const callConnectionCount = 32;
const notSentErrorCodes = new Set([
	'ECONNREFUSED',
	'EHOSTUNREACH',
	'ENETUNREACH',
	'UND_ERR_CONNECT_TIMEOUT',
]);

/** A client of one peer, with separate connections for heartbeats and calls. */
export class PeerClient {
	readonly #options: PeerClientOptions;
	readonly #rpc: JSONRPCClient<PostOptions>;
	#heartbeatPool: Pool;
	#callPool: Pool;

	/**
	 * @param options - The address of the peer and the certificate of this host.
	 */
	constructor(options: PeerClientOptions) {
		this.#options = options;
		this.#heartbeatPool = this.#createPool(1);
		this.#callPool = this.#createPool(callConnectionCount);
		this.#rpc = new JSONRPCClient(async (payload: unknown, options) => {
			this.#rpc.receive(await post(payload, options));
		});
	}

	/**
	 * Sends a message over the heartbeat connection.
	 *
	 * @remarks If it may have been sent but there is no valid reply, all
	 * connections are replaced, since they may be dead.
	 * @param name - The name of the method.
	 * @param message - The message.
	 * @param schema - The schema of the reply.
	 * @param timeoutMs - How long to wait for the reply, in milliseconds.
	 * @returns The reply, or the reason why there is none.
	 */
	async sendHeartbeat<Reply>(
		name: string,
		message: object,
		schema: z.ZodType<Reply>,
		timeoutMs: number,
	): Promise<Result<Reply, PeerError>> {
		const pool = this.#heartbeatPool;
		const reply = await this.#send(name, message, schema, {pool, timeoutMs});
		if (reply.isErr() && reply.error.mayHaveReachedPeer) {
			this.#reconnect();
		}

		return reply;
	}

	/**
	 * Sends a message over the connections for calls.
	 *
	 * @param name - The name of the method.
	 * @param message - The message.
	 * @param schema - The schema of the reply.
	 * @param timeoutMs - How long to wait for the reply, in milliseconds.
	 * @returns The reply, or the reason why there is none.
	 */
	async sendCall<Reply>(
		name: string,
		message: object,
		schema: z.ZodType<Reply>,
		timeoutMs: number,
	): Promise<Result<Reply, PeerError>> {
		const pool = this.#callPool;
		return this.#send(name, message, schema, {pool, timeoutMs});
	}

	/**
	 * Requests a text that may be long.
	 *
	 * @param name - The name of the method.
	 * @param message - The message.
	 * @param schema - The schema of the reply.
	 * @param timeoutMs - How long the reply may take to begin, and to end after that, in milliseconds; it may take longer while it makes progress.
	 * @returns The reply, or the reason why there is none.
	 */
	async fetchText<Reply>(
		name: string,
		message: object,
		schema: z.ZodType<Reply>,
		timeoutMs: number,
	): Promise<Result<Reply, PeerError>> {
		const pool = this.#callPool;
		const {clock: progressClock = systemClock} = this.#options;
		const options = {pool, timeoutMs, progressClock};
		return this.#send(name, message, schema, options);
	}

	/** Destroys all connections; pending messages fail. */
	async close(): Promise<void> {
		await Promise.all([
			this.#heartbeatPool.destroy(),
			this.#callPool.destroy(),
		]);
	}

	async #send<Reply>(
		name: string,
		message: object,
		schema: z.ZodType<Reply>,
		options: PostOptions,
	): Promise<Result<Reply, PeerError>> {
		try {
			const reply: unknown = await this.#rpc.request(name, message, options);
			const checked = schema.safeParse(reply);
			return checked.success
				? Ok(checked.data)
				: Err({
						mayHaveReachedPeer: true,
						cause: `malformed: ${checked.error.message}`,
					});
		} catch (error) {
			return Err({
				mayHaveReachedPeer: mayHaveReachedPeer(error as Error),
				cause: (error as Error).message,
			});
		}
	}

	/** Replaces all connections; pending calls may finish on their old ones. */
	#reconnect(): void {
		void this.#heartbeatPool.destroy();
		void this.#callPool.close();
		this.#heartbeatPool = this.#createPool(1);
		this.#callPool = this.#createPool(callConnectionCount);
	}

	#createPool(connections: number): Pool {
		const {peer, tls, localAddress} = this.#options;
		return new Pool(`https://${peer.address}:${peer.port}`, {
			connections,
			localAddress,
			connect: {
				...tls,
				timeout: connectTimeoutMs,
				checkServerIdentity: (_, certificate) =>
					certificate.subject.CN === peer.host
						? undefined
						: new Error(`the peer is "${String(certificate.subject.CN)}"`),
			},
		});
	}
}

/**
 * Posts a message. A reply without the id of this message is an error: the
 * JSON-RPC client would ignore it and leave the request pending.
 */
async function post(
	payload: unknown,
	{pool, timeoutMs, progressClock}: PostOptions,
): Promise<JSONRPCResponse> {
	const request = {
		method: 'POST',
		path: '/rpc',
		headers: {'content-type': 'application/json'},
		body: JSON.stringify(payload),
	} as const;
	if (progressClock === undefined) {
		const signal = AbortSignal.timeout(Math.ceil(timeoutMs));
		const {statusCode, body} = await pool.request({...request, signal});
		return parseResponseOrThrow(payload, statusCode, await body.text());
	}

	return limitTransfer(
		{
			clock: progressClock,
			beginMs: timeoutMs,
			pace: {graceMs: timeoutMs},
		},
		async ({signal, collectText}) => {
			const {statusCode, body} = await pool.request({...request, signal});
			return parseResponseOrThrow(payload, statusCode, await collectText(body));
		},
	);
}

function parseResponseOrThrow(
	payload: unknown,
	status: number,
	text: string,
): JSONRPCResponse {
	const response = JSON.parse(text) as JSONRPCResponse | undefined;
	const {id} = payload as {id: unknown};
	if (response === undefined || response.id !== id || status !== okStatus) {
		throw new Error(`the peer answered with status ${status}`);
	}

	return response;
}

function mayHaveReachedPeer(error: Error): boolean {
	const {code} = error as NodeJS.ErrnoException;
	return !(
		error instanceof errors.ConnectTimeoutError ||
		(code !== undefined && notSentErrorCodes.has(code))
	);
}
