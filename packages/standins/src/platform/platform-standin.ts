/** Stands in for the platform: values and the host list, to read and watch. */

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

/** An entry host in the platform's list. */
export type PublishedHost = {
	readonly id: string;
	readonly dataCentre: string;
	readonly address: string;
	readonly peerPort: number;
	readonly state: 'live' | 'leaving';
};

/** A read of the platform and its answer, for golden files. */
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

/** The platform's stand-in; operators publish by its methods. */
export class PlatformStandin {
	/** Counts each call; a waiting watch counts as one. */
	readonly calls = new CallCounter(systemClock);
	/** How long each answer takes besides, in milliseconds. */
	responseDelayMs = 0;
	/** How long a new host list takes to be seen, in milliseconds. */
	hostListDelayMs = 0;
	/** The IP numbers of readers that get no answer at all. */
	readonly partitionedReaders = new Set<string>();
	/** Takes each read as it is answered. */
	onRead: (read: PlatformRead) => void = () => undefined;
	readonly #server: FastifyInstance;
	readonly #published = new PublishedValues();
	readonly #watchers = new Set<() => void>();
	#isDown = false;

	/** Makes the stand-in; it does not listen yet. */
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
				return this.#respond(hasReaderList ? readerKey : hostListKey, request, reply);
			},
		);
	}

	/** Gets the number of all calls so far. */
	get callCount(): number {
		return this.calls.total;
	}

	/** Tells whether every call, also one that waits, is answered with an error. */
	get isDown(): boolean {
		return this.#isDown;
	}

	/** Tells whether readers see only what was published before. */
	get isStale(): boolean {
		return this.#published.isStale;
	}

	/**
	 * Takes the platform down or up again.
	 *
	 * @param isDown - Whether it is down from now on.
	 */
	setDown(isDown: boolean): void {
		this.#isDown = isDown;
		this.#notifyWatchers();
	}

	/**
	 * Freezes what readers see, or lets them see everything again.
	 *
	 * @param isStale - Whether it is frozen from now on.
	 */
	setStale(isStale: boolean): void {
		this.#published.setStale(isStale);
		this.#notifyWatchers();
	}

	/**
	 * Starts to listen.
	 *
	 * @param endpoint - Where.
	 */
	async listen(endpoint: Endpoint): Promise<void> {
		await this.#server.listen({host: endpoint.address, port: endpoint.port});
	}

	/** Stops to listen; waiting watches are cut. */
	async close(): Promise<void> {
		await this.#server.close();
	}

	/**
	 * Publishes a value.
	 *
	 * @param name - The name of the value.
	 * @param value - The value.
	 */
	setValue(name: string, value: string): void {
		this.#publish(`value:${name}`, {value});
	}

	/**
	 * Publishes the host list; readers see it after the lag.
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
	 * Publishes a host list that one reader sees in place of the others'.
	 *
	 * @param reader - The IP number of the reader.
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
		await this.#waitForNewerRevision(key, after, Number(request.query.wait ?? 0));
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
