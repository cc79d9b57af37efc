/** The connections to targets: one bounded set for each target. */

import type {Target} from '@bilberryscale/bundle';
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
	readonly #byTarget = new WeakMap<Target, TargetConnections>();

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

	/** Closes all connections once their requests have ended. */
	async close(): Promise<void> {
		await Promise.all(
			[...this.#pools.values()].map(async (pool) => pool.close()),
		);
	}

	#findPool(target: Target): TargetConnections {
		const origin = `http://${formatAddress(target.address)}:${target.port}`;
		const pool = this.#pools.get(origin) ?? this.#makePool(origin, target);
		this.#pools.set(origin, pool);
		this.#byTarget.set(target, pool);
		return pool;
	}

	#makePool(origin: string, target: Target): TargetConnections {
		const {clock, localAddress, getHostCount} = this.#options;
		return new TargetConnections({
			clock,
			origin,
			localAddress,
			getLimit: () =>
				Math.max(1, Math.floor(target.connections / getHostCount())),
		});
	}
}

function formatAddress(address: string): string {
	return address.includes(':') ? `[${address}]` : address;
}
