/** A simulated platform that serves published values and the host list, with long polling. */

import {setTimeout as sleep} from 'node:timers/promises';
import {systemClock} from '@bilberryscale/core';
import {
	fastify,
	type FastifyInstance,
	type FastifyReply,
	type FastifyRequest,
} from 'fastify';
import type {Endpoint} from '../deployment/address-plan.js';
import {CallCounter} from './call-counter.js';
import {PublishedValues} from './published-values.js';

/** An entry host in the published host list. */
export type PublishedHost = {
	readonly id: string;
	readonly dataCentre: string;
	readonly address: string;
	readonly peerPort: number;
	readonly state: 'live' | 'leaving';
};

/** A read request and its response, recorded for golden files. */
export type PlatformRead = {
	readonly path: string;
	readonly status: number;
	readonly body: string;
};

type ReadQuery = {
	readonly after?: string;
	readonly wait?: string;
};

const notModified = 304;
const notFound = 404;
const unavailable = 503;
const hostListKey = 'hosts';

/** An HTTP server that behaves like the platform; its methods publish content and inject faults. */
export class SimulatedPlatform {
	/** Counts the requests; a long poll counts as one. */
	readonly calls = new CallCounter(systemClock);
	/** The additional delay of each response in milliseconds. */
	responseDelayMs = 0;
	/** The delay until readers get a new host list, in milliseconds. */
	hostListDelayMs = 0;
	/** The IP addresses of readers that get no response. */
	readonly partitionedReaders = new Set<string>();
	/** Called with each read before its response is sent. */
	onRead: (read: PlatformRead) => void = () => undefined;
	readonly #server: FastifyInstance;
	readonly #published = new PublishedValues();
	readonly #watchers = new Set<() => void>();
	#isDown = false;

	/** Creates the server without listening. */
	constructor() {
		this.#server = fastify({logger: false, forceCloseConnections: true});
		this.#server.addHook('onSend', async (request, reply, payload) => {
			const body = typeof payload === 'string' ? payload : '';
			this.onRead({path: request.url, status: reply.statusCode, body});
		});
		this.#server.get<{Params: {name: string}; Querystring: ReadQuery}>(
			'/v1/values/:name',
			async (request, reply) =>
				this.#respond(`value:${request.params.name}`, request, reply),
		);
		this.#server.get<{Querystring: ReadQuery}>(
			'/v1/hosts',
			async (request, reply) => {
				const readerKey = getReaderListKey(request.ip);
				const hasReaderList = this.#published.get(readerKey) !== undefined;
				return this.#respond(
					hasReaderList ? readerKey : hostListKey,
					request,
					reply,
				);
			},
		);
	}

	/** Gets the total number of requests. */
	get callCount(): number {
		return this.calls.total;
	}

	/** Checks whether every request, including pending long polls, fails with an error. */
	get isDown(): boolean {
		return this.#isDown;
	}

	/** Checks whether readers get frozen content. */
	get isStale(): boolean {
		return this.#published.isStale;
	}

	/**
	 * Makes all requests fail, or lets them succeed again.
	 *
	 * @param isDown - Whether requests fail from now on.
	 */
	setDown(isDown: boolean): void {
		this.#isDown = isDown;
		this.#notifyWatchers();
	}

	/**
	 * Freezes the content that readers get, or serves new content again.
	 *
	 * @param isStale - Whether to freeze the current content.
	 */
	setStale(isStale: boolean): void {
		this.#published.setStale(isStale);
		this.#notifyWatchers();
	}

	/**
	 * Starts listening.
	 *
	 * @param endpoint - The address and port to listen on.
	 */
	async listen(endpoint: Endpoint): Promise<void> {
		await this.#server.listen({host: endpoint.address, port: endpoint.port});
	}

	/** Stops listening and closes pending long polls. */
	async close(): Promise<void> {
		await this.#server.close();
	}

	/**
	 * Publishes a value.
	 *
	 * @param name - The name of the value.
	 * @param value - The value to publish.
	 */
	setValue(name: string, value: string): void {
		this.#publish(`value:${name}`, {value});
	}

	/**
	 * Publishes the host list, which readers get after `hostListDelayMs`.
	 *
	 * @param hosts - The hosts.
	 */
	setHosts(hosts: readonly PublishedHost[]): void {
		if (this.hostListDelayMs === 0) {
			this.#publish(hostListKey, {hosts});
			return;
		}

		setTimeout(() => {
			this.#publish(hostListKey, {hosts});
		}, this.hostListDelayMs).unref();
	}

	/**
	 * Publishes a host list for one reader, which gets it in place of the common list.
	 *
	 * @param reader - The IP address of the reader.
	 * @param hosts - The hosts.
	 */
	setHostsFor(reader: string, hosts: readonly PublishedHost[]): void {
		this.#publish(getReaderListKey(reader), {hosts});
	}

	#publish(key: string, content: unknown): void {
		this.#published.set(key, content);
		this.#notifyWatchers();
	}

	#notifyWatchers(): void {
		for (const notify of this.#watchers) {
			notify();
		}
	}

	async #respond(
		key: string,
		request: FastifyRequest<{Querystring: ReadQuery}>,
		reply: FastifyReply,
	): Promise<FastifyReply> {
		this.calls.add();
		const after = Number(request.query.after ?? 0);
		await sleep(this.responseDelayMs);
		await this.#waitForNewerRevision(
			key,
			after,
			Number(request.query.wait ?? 0),
		);
		if (this.partitionedReaders.has(request.ip)) {
			return reply.hijack();
		}

		if (this.#isDown) {
			return reply.code(unavailable).send({error: 'down'});
		}

		const entry = this.#published.get(key);
		if (entry === undefined) {
			return reply.code(notFound).send({error: 'no such value'});
		}

		return entry.revision > after
			? reply.send({
					revision: entry.revision,
					...(entry.content as Record<string, unknown>),
				})
			: reply.code(notModified).send();
	}

	async #waitForNewerRevision(
		key: string,
		after: number,
		waitMs: number,
	): Promise<void> {
		const isDone = () =>
			this.#isDown || (this.#published.get(key)?.revision ?? 0) > after;
		if (waitMs === 0 || isDone()) {
			return;
		}

		await new Promise<void>((resolve) => {
			const finish = () => {
				clearTimeout(timer);
				this.#watchers.delete(onChange);
				resolve();
			};

			const onChange = () => {
				if (isDone()) {
					finish();
				}
			};

			const timer = setTimeout(finish, waitMs).unref();
			this.#watchers.add(onChange);
		});
	}
}

function getReaderListKey(reader: string): string {
	return `${hostListKey}:${reader}`;
}
