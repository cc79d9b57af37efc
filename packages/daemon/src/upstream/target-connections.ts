/** The connections of this host to one target. */

import type {Clock} from '@bilberryscale/core';
import {Connection, type ConnectionOptions} from './connection.js';

/** What the connections are made from. */
export type TargetConnectionsOptions = ConnectionOptions & {
	readonly clock: Clock;
	/** How many connections this host may hold to the target. */
	readonly getLimit: () => number;
};

const freshMs = 1000;
const minSilenceMs = 500;
const silenceFactor = 20;
const nonIdempotentFactor = 4;
const overtakenLimit = 3;
const latencyWeight = 0.1;

/**
 * Owns the connections to one target.
 *
 * @remarks A request that may not run twice goes only on a connection that has
 * answered within the last second, or on a new one. A connection is taken for
 * silent when it has not answered for many times the usual latency while
 * several requests that began later were answered on others.
 */
export class TargetConnections {
	readonly #options: TargetConnectionsOptions;
	/** The newest answer is last. */
	readonly #idle: Connection[] = [];
	/** The oldest request is first. */
	readonly #busy = new Set<Connection>();
	#latencyMs = 0;

	/**
	 * @param options - Where they lead and how many there may be.
	 */
	constructor(options: TargetConnectionsOptions) {
		this.#options = options;
	}

	/** Gets how many connections there are. */
	get size(): number {
		return this.#idle.length + this.#busy.size;
	}

	/**
	 * Takes a connection for a request.
	 *
	 * @param isIdempotent - Whether the request may be sent twice.
	 * @returns The connection.
	 */
	take(isIdempotent: boolean): Connection {
		const connection = this.#choose(isIdempotent);
		if (connection.requestCount === 0) {
			connection.startedAtMs = this.#options.clock.monotonicMs();
			connection.overtakenCount = 0;
			connection.isIdempotent = isIdempotent;
		}

		connection.requestCount++;
		this.#busy.add(connection);
		return connection;
	}

	/**
	 * Notes that an answer has begun and cuts connections found silent.
	 *
	 * @param connection - The connection.
	 */
	noteAnswer(connection: Connection): void {
		const nowMs = this.#options.clock.monotonicMs();
		connection.answeredAtMs = nowMs;
		const latencyMs = nowMs - connection.startedAtMs;
		this.#latencyMs += latencyWeight * (latencyMs - this.#latencyMs);
		for (const other of this.#busy) {
			if (other.startedAtMs >= connection.startedAtMs) {
				break;
			}

			this.#overtake(other, nowMs);
		}
	}

	/**
	 * Gives a connection back after its request.
	 *
	 * @param connection - The connection.
	 * @param isWhole - Whether the request had its whole answer.
	 */
	giveBack(connection: Connection, isWhole: boolean): void {
		connection.requestCount--;
		if (connection.requestCount > 0) {
			return;
		}

		if (!this.#busy.delete(connection)) {
			return;
		}

		if (isWhole) {
			this.#idle.push(connection);
		} else {
			connection.destroy();
		}
	}

	/** Closes all connections once their requests have ended. */
	async close(): Promise<void> {
		const all = [...this.#idle, ...this.#busy];
		await Promise.all(all.map(async (connection) => connection.close()));
	}

	#choose(isIdempotent: boolean): Connection {
		const newest = this.#idle.at(-1);
		if (newest !== undefined && (isIdempotent || this.#isFresh(newest))) {
			this.#idle.pop();
			return newest;
		}

		if (this.size >= this.#options.getLimit()) {
			const oldest = this.#idle.shift();
			if (oldest === undefined) {
				return this.#getLeastBusy();
			}

			oldest.destroy();
		}

		return new Connection(this.#options);
	}

	#isFresh(connection: Connection): boolean {
		const sinceMs =
			this.#options.clock.monotonicMs() - (connection.answeredAtMs ?? 0);
		return connection.answeredAtMs !== undefined && sinceMs <= freshMs;
	}

	#getLeastBusy(): Connection {
		let [least] = this.#busy;
		for (const connection of this.#busy) {
			if (connection.requestCount < least!.requestCount) {
				least = connection;
			}
		}

		return least ?? new Connection(this.#options);
	}

	#overtake(connection: Connection, nowMs: number): void {
		const isUnanswered =
			connection.answeredAtMs === undefined ||
			connection.answeredAtMs < connection.startedAtMs;
		if (!isUnanswered) {
			return;
		}

		connection.overtakenCount++;
		const silentMs = nowMs - connection.startedAtMs;
		const isSilent = silentMs > this.#getSilenceMs(connection);
		if (isSilent && connection.overtakenCount >= overtakenLimit) {
			this.#cutSilent(connection);
		}
	}

	#getSilenceMs(connection: Connection): number {
		const usualMs = Math.max(minSilenceMs, this.#latencyMs * silenceFactor);
		return connection.isIdempotent ? usualMs : usualMs * nonIdempotentFactor;
	}

	/** Cuts a silent connection and those that have been idle since before. */
	#cutSilent(silent: Connection): void {
		this.#busy.delete(silent);
		silent.destroy();
		while (
			this.#idle.length > 0 &&
			(this.#idle[0]!.answeredAtMs ?? 0) < silent.startedAtMs
		) {
			this.#idle.shift()!.destroy();
		}
	}
}
