/** Talks to one peer over connections of its own. */

import {JSONRPCClient, type JSONRPCResponse} from 'json-rpc-2.0';
import {Err, Ok, type Result} from 'ts-results-es';
import {Pool, errors} from 'undici';
import type {z} from 'zod';
import type {PeerAddress} from '../membership/peer-address.js';
import type {TlsMaterial} from './tls-files.js';

/** Why a message has no answer. */
export type PeerError = {
	/** Whether the peer may have got the message. */
	readonly wasSent: boolean;
	readonly cause: string;
};

/** What a client works with. */
export type PeerClientOptions = {
	readonly peer: PeerAddress;
	/** The certificate of this host; a peer takes no one without. */
	readonly tls: Partial<TlsMaterial>;
	/** The local IP number that connections leave from. */
	readonly localAddress: string;
};

type Attempt = {
	readonly pool: Pool;
	readonly timeoutMs: number;
};

const success = 200;
const connectTimeoutMs = 1000;
const callConnections = 32;
const neverSentCodes = new Set([
	'ECONNREFUSED',
	'EHOSTUNREACH',
	'ENETUNREACH',
	'UND_ERR_CONNECT_TIMEOUT',
]);

/** A client of one peer; heartbeats and calls do not share connections. */
export class PeerClient {
	readonly #options: PeerClientOptions;
	readonly #rpc: JSONRPCClient<Attempt>;
	#heartbeats: Pool;
	#calls: Pool;

	/**
	 * @param options - Where the peer listens and who this host is.
	 */
	constructor(options: PeerClientOptions) {
		this.#options = options;
		this.#heartbeats = this.#makePool(1);
		this.#calls = this.#makePool(callConnections);
		this.#rpc = new JSONRPCClient(async (payload: unknown, attempt) => {
			this.#rpc.receive(await post(payload, attempt));
		});
	}

	/**
	 * Sends a message that belongs to the heartbeats.
	 *
	 * @param name - The method.
	 * @param message - The message.
	 * @param schema - The shape of the answer.
	 * @param timeoutMs - How long to wait, in milliseconds.
	 * @returns The answer, or why there is none.
	 */
	async sendHeartbeat<Reply>(
		name: string,
		message: object,
		schema: z.ZodType<Reply>,
		timeoutMs: number,
	): Promise<Result<Reply, PeerError>> {
		const pool = this.#heartbeats;
		const reply = await this.#send(name, message, schema, {pool, timeoutMs});
		if (reply.isErr() && reply.error.wasSent) {
			this.#renewConnections();
		}

		return reply;
	}

	/**
	 * Sends any other message.
	 *
	 * @param name - The method.
	 * @param message - The message.
	 * @param schema - The shape of the answer.
	 * @param timeoutMs - How long to wait, in milliseconds.
	 * @returns The answer, or why there is none.
	 */
	async sendCall<Reply>(
		name: string,
		message: object,
		schema: z.ZodType<Reply>,
		timeoutMs: number,
	): Promise<Result<Reply, PeerError>> {
		const pool = this.#calls;
		return this.#send(name, message, schema, {pool, timeoutMs});
	}

	/** Cuts all connections. */
	async close(): Promise<void> {
		await Promise.all([this.#heartbeats.destroy(), this.#calls.destroy()]);
	}

	async #send<Reply>(
		name: string,
		message: object,
		schema: z.ZodType<Reply>,
		attempt: Attempt,
	): Promise<Result<Reply, PeerError>> {
		try {
			const answer: unknown = await this.#rpc.request(name, message, attempt);
			const checked = schema.safeParse(answer);
			return checked.success
				? Ok(checked.data)
				: Err({wasSent: true, cause: `malformed: ${checked.error.message}`});
		} catch (error) {
			return Err({
				wasSent: mayHaveBeenSent(error as Error),
				cause: (error as Error).message,
			});
		}
	}

	/** Leaves connections that may be silent for good. */
	#renewConnections(): void {
		void this.#heartbeats.destroy();
		void this.#calls.close();
		this.#heartbeats = this.#makePool(1);
		this.#calls = this.#makePool(callConnections);
	}

	#makePool(connections: number): Pool {
		const {peer, tls, localAddress} = this.#options;
		return new Pool(`https://${peer.address}:${peer.port}`, {
			connections,
			connect: {
				...tls,
				localAddress,
				timeout: connectTimeoutMs,
				checkServerIdentity: (_, certificate) =>
					certificate.subject.CN === peer.host
						? undefined
						: new Error(`the peer is "${String(certificate.subject.CN)}"`),
			},
		});
	}
}

/** Posts a message; an answer to no or another message is an error, since nobody would wait for it. */
async function post(
	payload: unknown,
	{pool, timeoutMs}: Attempt,
): Promise<JSONRPCResponse> {
	const answer = await pool.request({
		method: 'POST',
		path: '/rpc',
		headers: {'content-type': 'application/json'},
		body: JSON.stringify(payload),
		signal: AbortSignal.timeout(Math.ceil(timeoutMs)),
	});
	const response = (await answer.body.json()) as JSONRPCResponse | undefined;
	const {id} = payload as {id: unknown};
	if (
		response === undefined ||
		response.id !== id ||
		answer.statusCode !== success
	) {
		throw new Error(`the peer answered with status ${answer.statusCode}`);
	}

	return response;
}

function mayHaveBeenSent(error: Error): boolean {
	const {code} = error as NodeJS.ErrnoException;
	return !(
		error instanceof errors.ConnectTimeoutError ||
		(code !== undefined && neverSentCodes.has(code))
	);
}
