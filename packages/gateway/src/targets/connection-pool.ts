/** Pools the connections of this host to one target. */

import type {Clock} from '@bilberryscale/core';
import {Connection, type ResponseFlood} from '@bilberryscale/daemon/edge';

/** How connections are opened, and how many. */
export type ConnectionPoolOptions = {
	readonly clock: Clock;
	readonly origin: string;
	/** The local IP address that connections are opened from. */
	readonly localAddress: string;
	/** Gets the maximum number of connections, idle or busy. */
	readonly getMaxSize: () => number;
	/** Called when the target sent bytes without end on a connection, which is closed for it. */
	readonly onFlood?: ((flood: ResponseFlood) => void) | undefined;
};

/** Owns the connections to one target; each carries one request at a time. */
export class ConnectionPool {
	readonly #options: ConnectionPoolOptions;
	/** Ordered by the time of their last response, the newest last. */
	readonly #idle: Connection[] = [];
	readonly #busy = new Set<Connection>();
	#isClosed = false;

	/**
	 * @param options - How connections are opened.
	 */
	constructor(options: ConnectionPoolOptions) {
		this.#options = options;
	}

	/** The number of idle and busy connections. */
	get size(): number {
		return this.#idle.length + this.#busy.size;
	}

	/** Whether a connection is idle or may be opened. */
	get isAvailable(): boolean {
		return (
			this.#idle.length > 0 || this.#busy.size < this.#options.getMaxSize()
		);
	}

	/**
	 * Takes an idle connection or opens a new one.
	 *
	 * @param maxIdleMs - The maximum time since the last response on an idle connection, in milliseconds.
	 * @returns The connection; undefined if the maximum number of connections is busy.
	 */
	acquire(maxIdleMs: number): Connection | undefined {
		return this.#addBusy(this.#acquireIdle(maxIdleMs) ?? this.#open());
	}

	/**
	 * Opens a new connection, also if others are idle.
	 *
	 * @returns The connection; undefined if the maximum number of connections is busy.
	 */
	acquireNew(): Connection | undefined {
		return this.#addBusy(this.#open());
	}

	/**
	 * Returns a connection to the pool, or closes it if it cannot be reused.
	 *
	 * @param connection - The connection.
	 * @param isReusable - Whether its request ended with a complete and valid response.
	 */
	release(connection: Connection, isReusable: boolean): void {
		if (!this.#busy.delete(connection)) {
			return;
		}

		if (isReusable && !this.#isClosed) {
			connection.answeredAtMs = this.#options.clock.monotonicMs();
			this.#idle.push(connection);
		} else {
			connection.destroy();
		}
	}

	/** Closes the idle connections, for example because they may be dead. */
	closeIdle(): void {
		for (const connection of this.#idle.splice(0)) {
			connection.destroy();
		}
	}

	/** Closes idle connections now and busy ones when they are released. */
	close(): void {
		this.#isClosed = true;
		this.closeIdle();
	}

	#addBusy(connection: Connection | undefined): Connection | undefined {
		if (connection !== undefined) {
			this.#busy.add(connection);
		}

		return connection;
	}

	#acquireIdle(maxIdleMs: number): Connection | undefined {
		const newest = this.#idle.at(-1);
		const oldestMs = this.#options.clock.monotonicMs() - maxIdleMs;
		return (newest?.answeredAtMs ?? Number.NEGATIVE_INFINITY) >= oldestMs
			? this.#idle.pop()
			: undefined;
	}

	#open(): Connection | undefined {
		if (this.size >= this.#options.getMaxSize()) {
			const oldest = this.#idle.shift();
			if (oldest === undefined) {
				return undefined;
			}

			oldest.destroy();
		}

		return new Connection(this.#options);
	}
}
