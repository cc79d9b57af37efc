/** Stands in for the platform: values and the host list, to read and watch. */

import {fastify, type FastifyInstance, type FastifyReply} from 'fastify';
import type {Endpoint} from '../deployment/address-plan.js';

/** An entry host in the platform's list. */
export type StandinHost = {
	readonly id: string;
	readonly dataCentre: string;
	readonly address: string;
	readonly peerPort: number;
	readonly state: 'live' | 'leaving';
};

type Versioned = {
	readonly revision: number;
	readonly content: unknown;
};

type ReadQuery = {
	readonly after?: string;
	readonly wait?: string;
};

const notModified = 304;
const notFound = 404;
const unavailable = 503;
const hostListName = 'hosts';

/** The platform's stand-in; operators publish by its methods. */
export class PlatformStandin {
	/** Counts each call; a waiting watch counts as one. */
	callCount = 0;
	/** While true, every call is answered with an error. */
	isDown = false;
	readonly #server: FastifyInstance;
	readonly #values = new Map<string, Versioned>();
	readonly #watchers = new Set<() => void>();
	#revision = 0;

	/** Makes the stand-in; it does not listen yet. */
	constructor() {
		this.#server = fastify({logger: false, forceCloseConnections: true});
		this.#server.get<{Params: {name: string}; Querystring: ReadQuery}>(
			'/v1/values/:name',
			async (request, reply) =>
				this.#answer(`value:${request.params.name}`, request.query, reply),
		);
		this.#server.get<{Querystring: ReadQuery}>(
			'/v1/hosts',
			async (request, reply) =>
				this.#answer(hostListName, request.query, reply),
		);
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
		this.#set(`value:${name}`, {value});
	}

	/**
	 * Publishes the host list.
	 *
	 * @param hosts - The hosts.
	 */
	setHosts(hosts: readonly StandinHost[]): void {
		this.#set(hostListName, {hosts});
	}

	#set(key: string, content: unknown): void {
		this.#revision++;
		this.#values.set(key, {revision: this.#revision, content});
		for (const wake of this.#watchers) {
			wake();
		}
	}

	async #answer(
		key: string,
		query: ReadQuery,
		reply: FastifyReply,
	): Promise<FastifyReply> {
		this.callCount++;
		const after = Number(query.after ?? 0);
		await this.#waitForNewer(key, after, Number(query.wait ?? 0));
		if (this.isDown) {
			return reply.code(unavailable).send({error: 'down'});
		}

		const entry = this.#values.get(key);
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

	async #waitForNewer(
		key: string,
		after: number,
		waitMs: number,
	): Promise<void> {
		const isNewer = () => (this.#values.get(key)?.revision ?? 0) > after;
		if (waitMs === 0 || isNewer()) {
			return;
		}

		await new Promise<void>((resolve) => {
			const finish = () => {
				clearTimeout(timer);
				this.#watchers.delete(wake);
				resolve();
			};

			const wake = () => {
				if (isNewer()) {
					finish();
				}
			};

			const timer = setTimeout(finish, waitMs);
			this.#watchers.add(wake);
		});
	}
}
