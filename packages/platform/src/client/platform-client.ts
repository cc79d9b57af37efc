/** A client for the configuration values and the host list of the platform. */

import {
	limitTransfer,
	makeId,
	systemClock,
	type Clock,
	type DataCentreId,
	type HostId,
} from '@bilberryscale/core';
import {Err, Ok, type Result} from 'ts-results-es';
import {Agent, request} from 'undici';
import {z} from 'zod';

const valueSchema = z.object({
	revision: z.int().nonnegative(),
	value: z.string(),
});

const hostSchema = z.object({
	id: z.string().transform((value) => makeId<HostId>(value)),
	dataCentre: z.string().transform((value) => makeId<DataCentreId>(value)),
	address: z.string(),
	peerPort: z.int().positive(),
	state: z.enum(['live', 'leaving']),
});

const hostListSchema = z.object({
	revision: z.int().nonnegative(),
	hosts: z.array(hostSchema),
});

/** A configuration value and the revision that it was read at. */
export type PublishedValue = z.infer<typeof valueSchema>;

/** An entry host as last registered with the platform. */
export type RegisteredHost = z.infer<typeof hostSchema>;

/** The platform's host list, which may be out of date. */
export type HostList = z.infer<typeof hostListSchema>;

/** The result of a read; undefined if it was not found or is not newer than the given revision. */
export type ReadOutcome<Value> = Value | undefined;

/** Options of a {@link PlatformClient}. */
export type PlatformClientOptions = {
	/** The base URLs of the platform; a failed read switches to the next one. */
	readonly addresses: readonly string[];
	/** The local IP address to connect from. */
	readonly localAddress?: string;
	/**
	 * How long a response may take to begin beyond the requested wait, and to end after that, in milliseconds; it may
	 * take longer while it makes progress.
	 */
	readonly timeoutMs: number;
	/** The clock for the timeout; that of the system by default. */
	readonly clock?: Clock;
};

const notModifiedStatus = 304;
const notFoundStatus = 404;
const successStatus = 200;
// JSON escapes can double the length of a value, which is at most one megabyte.
const maxResponseBytes = 2_200_000;

/** Reads and watches values and the host list; it never writes. */
export class PlatformClient {
	readonly #options: PlatformClientOptions;
	readonly #agent: Agent;
	#addressIndex = 0;

	/**
	 * @param options - The addresses of the platform, the local address and the timeout.
	 */
	constructor(options: PlatformClientOptions) {
		this.#options = options;
		const {localAddress} = options;
		this.#agent = new Agent({
			maxResponseSize: maxResponseBytes,
			...(localAddress !== undefined && {localAddress}),
		});
	}

	/**
	 * Reads a value, or long-polls for a newer one.
	 *
	 * @param name - The name of the value.
	 * @param afterRevision - The last known revision; 0 returns the current one at once.
	 * @param waitMs - How long the platform holds the request if there is nothing newer, in milliseconds.
	 * @returns The value, undefined if it was not found or is not newer, or an error message.
	 */
	async readValue(
		name: string,
		afterRevision = 0,
		waitMs = 0,
	): Promise<Result<ReadOutcome<PublishedValue>, string>> {
		const path = `/v1/values/${encodeURIComponent(name)}`;
		return this.#read(path, afterRevision, waitMs, valueSchema);
	}

	/**
	 * Reads the host list, or long-polls for a newer one.
	 *
	 * @param afterRevision - The last known revision; 0 returns the current one at once.
	 * @param waitMs - How long the platform holds the request if there is nothing newer, in milliseconds.
	 * @returns The list, undefined if there is nothing newer, or an error message.
	 */
	async readHosts(
		afterRevision = 0,
		waitMs = 0,
	): Promise<Result<ReadOutcome<HostList>, string>> {
		return this.#read('/v1/hosts', afterRevision, waitMs, hostListSchema);
	}

	/** Closes all connections. */
	async close(): Promise<void> {
		await this.#agent.destroy();
	}

	async #read<Value>(
		path: string,
		afterRevision: number,
		waitMs: number,
		schema: z.ZodType<Value>,
	): Promise<Result<ReadOutcome<Value>, string>> {
		const index = this.#addressIndex;
		const base = this.#options.addresses[index];
		const url = `${base}${path}?after=${afterRevision}&wait=${waitMs}`;
		const outcome = await this.#fetch(url, waitMs, schema);
		// Concurrent failed reads of one address advance the index only once.
		if (outcome.isErr() && this.#addressIndex === index) {
			this.#addressIndex = (index + 1) % this.#options.addresses.length;
		}

		return outcome.mapErr((error) => `${url}: ${error}`);
	}

	async #fetch<Value>(
		url: string,
		waitMs: number,
		schema: z.ZodType<Value>,
	): Promise<Result<ReadOutcome<Value>, string>> {
		const {timeoutMs, clock = systemClock} = this.#options;
		const pace = {graceMs: timeoutMs};
		try {
			return await limitTransfer(
				{clock, beginMs: timeoutMs + waitMs, pace},
				async ({signal, collectText}) => {
					const {statusCode, body} = await request(url, {
						dispatcher: this.#agent,
						headersTimeout: 0,
						bodyTimeout: 0,
						signal,
					});
					return parseResponse(statusCode, await collectText(body), schema);
				},
			);
		} catch (error) {
			return Err((error as Error).message);
		}
	}
}

function parseResponse<Value>(
	status: number,
	text: string,
	schema: z.ZodType<Value>,
): Result<ReadOutcome<Value>, string> {
	if (status === notModifiedStatus || status === notFoundStatus) {
		return Ok(undefined);
	}

	if (status !== successStatus) {
		return Err(`the platform responded with status ${status}`);
	}

	const parsed = schema.safeParse(JSON.parse(text));
	return parsed.success
		? Ok(parsed.data)
		: Err(`the platform's response is malformed: ${parsed.error.message}`);
}
