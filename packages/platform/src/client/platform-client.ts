/** Reads and watches the platform's configuration service and host list. */

import {makeId, type DataCentreId, type HostId} from '@bilberryscale/core';
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

/** A published value. */
export type PublishedValue = z.infer<typeof valueSchema>;

/** An entry host, as the platform last knew it. */
export type ListedHost = z.infer<typeof hostSchema>;

/** The platform's host list, which lags. */
export type HostList = z.infer<typeof hostListSchema>;

/** What a read gives: a value, or nothing new since the revision asked for. */
export type ReadOutcome<Value> = Value | undefined;

/** How to reach the platform. */
export type PlatformClientOptions = {
	/** The base addresses of the platform, tried in turn. */
	readonly addresses: readonly string[];
	/** The local IP number that connections leave from. */
	readonly localAddress?: string;
	/** How long an answer may take beyond the wait asked for, in milliseconds. */
	readonly timeoutMs: number;
};

const notModified = 304;
const notFound = 404;
const success = 200;
// A value of a megabyte grows to twice that when JSON escapes each character.
const maxAnswerBytes = 2_200_000;

/** A reader of the platform; it never writes. */
export class PlatformClient {
	readonly #options: PlatformClientOptions;
	readonly #agent: Agent;
	#next = 0;

	/**
	 * @param options - How to reach the platform.
	 */
	constructor(options: PlatformClientOptions) {
		this.#options = options;
		const {localAddress} = options;
		this.#agent = new Agent({
			maxResponseSize: maxAnswerBytes,
			...(localAddress !== undefined && {localAddress}),
		});
	}

	/**
	 * Reads a value, or waits for a newer one.
	 *
	 * @param name - The name of the value.
	 * @param afterRevision - The revision already known; 0 reads at once.
	 * @param waitMs - How long to wait for a newer one, in milliseconds.
	 * @returns The value, undefined if there is nothing newer, or why it failed.
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
	 * Reads the host list, or waits for a newer one.
	 *
	 * @param afterRevision - The revision already known; 0 reads at once.
	 * @param waitMs - How long to wait for a newer one, in milliseconds.
	 * @returns The list, undefined if there is nothing newer, or why it failed.
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
		const index = this.#next;
		const base = this.#options.addresses[index];
		const url = `${base}${path}?after=${afterRevision}&wait=${waitMs}`;
		const outcome = await this.#ask(url, waitMs, schema);
		// Reads that failed together move on by one address only.
		if (outcome.isErr() && this.#next === index) {
			this.#next = (index + 1) % this.#options.addresses.length;
		}

		return outcome.mapErr((fault) => `${url}: ${fault}`);
	}

	async #ask<Value>(
		url: string,
		waitMs: number,
		schema: z.ZodType<Value>,
	): Promise<Result<ReadOutcome<Value>, string>> {
		const timeoutMs = this.#options.timeoutMs + waitMs;
		try {
			const answer = await request(url, {
				dispatcher: this.#agent,
				headersTimeout: timeoutMs,
				bodyTimeout: timeoutMs,
				signal: AbortSignal.timeout(timeoutMs),
			});
			return readAnswer(answer.statusCode, await answer.body.text(), schema);
		} catch (error) {
			return Err((error as Error).message);
		}
	}
}

function readAnswer<Value>(
	status: number,
	text: string,
	schema: z.ZodType<Value>,
): Result<ReadOutcome<Value>, string> {
	if (status === notModified || status === notFound) {
		return Ok(undefined);
	}

	if (status !== success) {
		return Err(`the platform answered with status ${status}`);
	}

	const checked = schema.safeParse(JSON.parse(text));
	return checked.success
		? Ok(checked.data)
		: Err(`the platform's answer is malformed: ${checked.error.message}`);
}
