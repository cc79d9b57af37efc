/** The connections to targets: one bounded pool for each target. */

import type {Target} from '@bilberryscale/bundle';
import {Pool} from 'undici';

/** What the pools work with. */
export type ConnectionPoolsOptions = {
	/** The local IP number that connections leave from. */
	readonly localAddress: string;
	/** How many entry hosts share a target's connections. */
	readonly getHostCount: () => number;
};

const idleTimeoutMs = 10_000;
const connectTimeoutMs = 1000;

/** Owns the connections to all targets. */
export class ConnectionPools {
	readonly #options: ConnectionPoolsOptions;
	readonly #pools = new Map<string, Pool>();

	/**
	 * @param options - Where connections leave from and who shares them.
	 */
	constructor(options: ConnectionPoolsOptions) {
		this.#options = options;
	}

	/**
	 * Gets the pool of a target, made at its first use.
	 *
	 * @param target - The target.
	 * @returns The pool.
	 */
	getPool(target: Target): Pool {
		const origin = `http://${formatAddress(target.address)}:${target.port}`;
		const pool = this.#pools.get(origin) ?? this.#makePool(origin, target);
		this.#pools.set(origin, pool);
		return pool;
	}

	/** Closes all connections once their requests have ended. */
	async close(): Promise<void> {
		await Promise.all(
			[...this.#pools.values()].map(async (pool) => pool.close()),
		);
	}

	#makePool(origin: string, target: Target): Pool {
		const share = Math.floor(target.connections / this.#options.getHostCount());
		return new Pool(origin, {
			connections: Math.max(1, share),
			pipelining: 1,
			keepAliveTimeout: idleTimeoutMs,
			headersTimeout: 0,
			bodyTimeout: 0,
			localAddress: this.#options.localAddress,
			connect: {timeout: connectTimeoutMs},
		});
	}
}

function formatAddress(address: string): string {
	return address.includes(':') ? `[${address}]` : address;
}
