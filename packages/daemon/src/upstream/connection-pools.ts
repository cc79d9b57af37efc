/** The connections to targets: one bounded set for each target. */

import type {Bundle, Target} from '@bilberryscale/bundle';
import type {Clock} from '@bilberryscale/core';
import {TargetConnections} from './target-connections.js';

/** What the pools work with. */
export type ConnectionPoolsOptions = {
	readonly clock: Clock;
	/** The local IP number that connections leave from. */
	readonly localAddress: string;
	/** How many entry hosts share a target's connections. */
	readonly getHostCount: () => number;
};

/** Owns the connections to all targets. */
export class ConnectionPools {
	readonly #options: ConnectionPoolsOptions;
	readonly #pools = new Map<string, TargetConnections>();
	#byTarget = new WeakMap<Target, TargetConnections>();

	/**
	 * @param options - Where connections leave from and who shares them.
	 */
	constructor(options: ConnectionPoolsOptions) {
		this.#options = options;
	}

	/**
	 * Gets the connections to a target, made at their first use.
	 *
	 * @param target - The target.
	 * @returns The connections.
	 */
	getPool(target: Target): TargetConnections {
		return this.#byTarget.get(target) ?? this.#findPool(target);
	}

	/**
	 * Closes the connections to all other targets once their requests have ended.
	 *
	 * @param bundle - The bundle whose targets are kept.
	 */
	retain({services}: Pick<Bundle, 'services'>): void {
		const kept = new Set(
			services.flatMap(({targets}) =>
				targets.map((target) => getOrigin(target)),
			),
		);
		this.#byTarget = new WeakMap();
		for (const [origin, pool] of this.#pools) {
			if (!kept.has(origin)) {
				this.#pools.delete(origin);
				void pool.close();
			}
		}
	}

	/** Closes all connections once their requests have ended. */
	async close(): Promise<void> {
		await Promise.all(
			[...this.#pools.values()].map(async (pool) => pool.close()),
		);
	}

	#findPool(target: Target): TargetConnections {
		const origin = getOrigin(target);
		const pool =
			this.#pools.get(origin) ??
			new TargetConnections({...this.#options, origin});
		pool.fleetLimit = target.connections;
		this.#pools.set(origin, pool);
		this.#byTarget.set(target, pool);
		return pool;
	}
}

function getOrigin({address, port}: Target): string {
	return `http://${formatAddress(address)}:${port}`;
}

function formatAddress(address: string): string {
	return address.includes(':') ? `[${address}]` : address;
}
