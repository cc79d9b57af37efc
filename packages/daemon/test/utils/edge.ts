/** A caller's server with the whole pipeline and one scripted target. */

import type {AddressInfo} from 'node:net';
import {setTimeout as sleep} from 'node:timers/promises';
import {parseBundle} from '@bilberryscale/bundle';
import {
	makeId,
	makeSeededRandom,
	systemClock,
	type Clock,
	type DataCentreId,
} from '@bilberryscale/core';
import type {FastifyInstance} from 'fastify';
import {TargetAllocator} from '../../src/dispatch/target-allocator.js';
import {makeCallerServer} from '../../src/http/caller-server.js';
import type {Log} from '../../src/logging/make-logger.js';
import {makeCallPipeline} from '../../src/pipeline/call-pipeline.js';
import {ConnectionPools} from '../../src/upstream/connection-pools.js';
import {makeLoneFleet} from './lone-fleet.js';
import {RawCaller, type RawAnswer} from './raw-caller.js';
import {RawTarget, type RawScript} from './raw-target.js';

/** What an edge is made from. */
export type EdgeOptions = {
	readonly script: RawScript;
	readonly clock?: Clock;
	readonly headTimeoutMs?: number;
};

const pollMs = 2;
const silentLog = {error: () => undefined} as unknown as Log;

/** The service `svc` behind a caller's server on the loopback interface. */
export class Edge {
	readonly target: RawTarget;
	readonly #server: FastifyInstance;
	readonly #pools: ConnectionPools;

	private constructor(options: EdgeOptions, target: RawTarget) {
		const clock = options.clock ?? systemClock;
		this.target = target;
		const allocator = new TargetAllocator({
			clock,
			random: makeSeededRandom(1),
			dataCentre: makeId<DataCentreId>('east'),
			choice: 'random',
			audit: () => undefined,
		});
		allocator.setBundle(
			parseBundle(getBundleText(target.port), 'bundle.toml').unwrap(),
		);
		this.#pools = new ConnectionPools({
			clock,
			localAddress: '127.0.0.1',
			getHostCount: () => 1,
		});
		const parts = {
			allocator,
			pools: this.#pools,
			clock,
			audit: () => undefined,
			bodyIdleMs: 1000,
			onEnded: () => undefined,
		};
		this.#server = makeCallerServer({
			pipeline: makeCallPipeline(parts, makeLoneFleet(parts)),
			clock,
			log: silentLog,
			headerBytes: 2048,
			headTimeoutMs: options.headTimeoutMs ?? 10_000,
			getClosedFailure: () => undefined,
		});
	}

	/**
	 * Starts the target and the server.
	 *
	 * @param options - What the target does and which clock counts.
	 * @returns The running edge.
	 */
	static async start(options: EdgeOptions): Promise<Edge> {
		const target = new RawTarget(options.script);
		await target.listen();
		const edge = new Edge(options, target);
		await edge.#server.listen({host: '127.0.0.1', port: 0});
		return edge;
	}

	/** Opens a caller's connection. */
	connect(): RawCaller {
		return new RawCaller((this.#server.server.address() as AddressInfo).port);
	}

	/**
	 * Sends bytes and reads until the connection closes.
	 *
	 * @param text - The bytes of the request.
	 * @returns The answer.
	 */
	async exchange(text: string): Promise<RawAnswer> {
		const caller = this.connect();
		caller.send(text);
		return caller.readToEnd();
	}

	/** Ends everything. */
	async close(): Promise<void> {
		await this.target.close();
		this.#server.server.closeAllConnections();
		await this.#server.close();
		await this.#pools.close();
	}
}

/**
 * Runs a test with an edge that is closed afterwards.
 *
 * @param options - What the edge is made from.
 * @param body - The test.
 */
export async function withEdge(
	options: EdgeOptions,
	body: (edge: Edge) => Promise<void>,
): Promise<void> {
	const edge = await Edge.start(options);
	try {
		await body(edge);
	} finally {
		await edge.close();
	}
}

/**
 * Waits until something holds.
 *
 * @param isMet - Tells whether it holds.
 */
export async function until(isMet: () => boolean): Promise<void> {
	while (!isMet()) {
		await sleep(pollMs);
	}
}

function getBundleText(port: number): string {
	return `
version = 1
distances = []

[[dataCentres]]
id = "east"
state = "in"

[[services]]
name = "svc"
idempotency = "by-method"
classes = [{name = "reader", weight = 1}]
limits = {queueLength = 10, queueTimeMs = 1000, timeoutMs = 5000, bodyBytes = 1000}
retry = {share = 0.1, attempts = 1}
measuring = {callsPerSecond = 5, bytesPerSecond = 1000}

[[services.targets]]
id = "svc-1"
address = "127.0.0.1"
port = ${port}
dataCentre = "east"
slots = 4
connections = 220
coldAllowance = 4
`;
}
