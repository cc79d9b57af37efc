/** Connection pools, one for each target. */

import type {Bundle, Target} from '@bilberryscale/bundle';
import type {Clock} from '@bilberryscale/core';
import {TargetConnectionPool} from './target-connection-pool.js';

/** Options of the pools. */
export type ConnectionPoolsOptions = {
	readonly clock: Clock;
	/** The local IP address that connections are opened from. */
	readonly localAddress: string;
	/** Gets how many entry hosts share the connection limit of a target. */
	readonly getHostCount: () => number;
};

/** Manages the connection pools of all targets. */
export class ConnectionPools {
	readonly #options: ConnectionPoolsOptions;
	readonly #poolsByOrigin = new Map<string, TargetConnectionPool>();
	#poolsByTarget = new WeakMap<Target, TargetConnectionPool>();

	/**
	 * @param options - The local address, the clock and the number of hosts.
	 */
	constructor(options: ConnectionPoolsOptions) {
		this.#options = options;
	}

	/**
	 * Gets the pool of a target, created on first use.
	 *
	 * @param target - The target.
	 * @returns The pool.
	 */
	getPool(target: Target): TargetConnectionPool {
		return this.#poolsByTarget.get(target) ?? this.#findOrCreatePool(target);
	}

	/**
	 * Removes the pools of targets that are not in a bundle. Their connections
	 * close once their requests have ended.
	 *
	 * @param bundle - The bundle whose targets keep their pools.
	 */
	retainTargets({services}: Pick<Bundle, 'services'>): void {
		const retainedOrigins = new Set(
			services.flatMap(({targets}) =>
				targets.map((target) => getOrigin(target)),
			),
		);
		this.#poolsByTarget = new WeakMap();
		for (const [origin, pool] of this.#poolsByOrigin) {
			if (!retainedOrigins.has(origin)) {
				this.#poolsByOrigin.delete(origin);
				void pool.close();
			}
		}
	}

	/** Closes all connections once their requests have ended. */
	async close(): Promise<void> {
		await Promise.all(
			[...this.#poolsByOrigin.values()].map(async (pool) => pool.close()),
		);
	}

	#findOrCreatePool(target: Target): TargetConnectionPool {
		const origin = getOrigin(target);
		const pool =
			this.#poolsByOrigin.get(origin) ??
			new TargetConnectionPool({...this.#options, origin});
		pool.maxFleetConnections = target.connections;
		this.#poolsByOrigin.set(origin, pool);
		this.#poolsByTarget.set(target, pool);
		return pool;
	}
}

function getOrigin({address, port}: Target): string {
	return `http://${formatAddress(address)}:${port}`;
}

function formatAddress(address: string): string {
	return address.includes(':') ? `[${address}]` : address;
}
