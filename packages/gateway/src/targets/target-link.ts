/** The connections of this host to one target. */

import type {Clock} from '@bilberryscale/core';
import {Connection} from '@bilberryscale/daemon/edge';

/** How the connections are opened. */
export type TargetLinkOptions = {
	readonly clock: Clock;
	readonly origin: string;
	/** The local IP number that connections leave from. */
	readonly localAddress: string;
	/** How many connections this host may hold. */
	readonly getLimit: () => number;
};

/** Owns the connections to one target; each carries one request at a time. */
export class TargetLink {
	readonly #options: TargetLinkOptions;
	/** The newest answer is last. */
	readonly #idle: Connection[] = [];
	readonly #busy = new Set<Connection>();
	#isClosed = false;

	/**
	 * @param options - Where the connections lead.
	 */
	constructor(options: TargetLinkOptions) {
		this.#options = options;
	}

	/** Gets how many connections there are. */
	get size(): number {
		return this.#idle.length + this.#busy.size;
	}

	/**
	 * Takes a connection for a request.
	 *
	 * @param mostIdleMs - How long ago its last answer may have come.
	 * @returns The connection; undefined if as many as allowed are busy.
	 */
	take(mostIdleMs: number): Connection | undefined {
		const connection = this.#takeIdle(mostIdleMs) ?? this.#open();
		if (connection !== undefined) {
			this.#busy.add(connection);
		}

		return connection;
	}

	/**
	 * Gives a connection back.
	 *
	 * @param connection - The connection.
	 * @param isClean - Whether its request had its whole answer.
	 */
	giveBack(connection: Connection, isClean: boolean): void {
		if (!this.#busy.delete(connection)) {
			return;
		}

		if (isClean && !this.#isClosed) {
			connection.answeredAtMs = this.#options.clock.monotonicMs();
			this.#idle.push(connection);
		} else {
			connection.destroy();
		}
	}

	/** Drops the idle connections, as they may be dead. */
	dropIdle(): void {
		for (const connection of this.#idle.splice(0)) {
			connection.destroy();
		}
	}

	/** Closes idle connections now and busy ones after their request. */
	close(): void {
		this.#isClosed = true;
		this.dropIdle();
	}

	#takeIdle(mostIdleMs: number): Connection | undefined {
		const newest = this.#idle.at(-1);
		const oldestMs = this.#options.clock.monotonicMs() - mostIdleMs;
		return (newest?.answeredAtMs ?? Number.NEGATIVE_INFINITY) >= oldestMs
			? this.#idle.pop()
			: undefined;
	}

	#open(): Connection | undefined {
		if (this.size >= this.#options.getLimit()) {
			const oldest = this.#idle.shift();
			if (oldest === undefined) {
				return undefined;
			}

			oldest.destroy();
		}

		return new Connection(this.#options);
	}
}
