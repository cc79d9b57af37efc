/** The connection pool of one target. */

import type {Clock} from '@bilberryscale/core';
import {Connection, type ConnectionOptions} from './connection.js';

/** Options of the pool. */
export type TargetConnectionPoolOptions = ConnectionOptions & {
	readonly clock: Clock;
	/** Gets how many entry hosts share the connection limit of the target. */
	readonly getHostCount: () => number;
};

const maxFreshAgeMs = 1000;
const minResponseTimeoutMs = 500;
const responseTimeoutLatencyFactor = 20;
const nonIdempotentTimeoutFactor = 4;
const minOvertakenCount = 3;
const latencySmoothingFactor = 0.1;

/**
 * Manages the connections of this host to one target.
 *
 * @remarks A request that is not safe to send again uses only a connection that
 * answered within the last second, or a new one. At the connection limit with
 * no idle connection, every request is queued on the least busy one. A
 * connection counts as unresponsive when it has not answered for many times the
 * average latency while several requests that began later were answered on other
 * connections.
 */
export class TargetConnectionPool {
	/** The maximum number of connections to the target from all entry hosts together. */
	maxFleetConnections = 1;
	readonly #options: TargetConnectionPoolOptions;
	/** Idle connections, ordered by their latest response; the most recent is last. */
	readonly #idle: Connection[] = [];
	/** Busy connections, in the order in which they became busy. */
	readonly #busy = new Set<Connection>();
	#averageLatencyMs = 0;

	/**
	 * @param options - The origin, the local address, the clock and the number of hosts.
	 */
	constructor(options: TargetConnectionPoolOptions) {
		this.#options = options;
	}

	/** The number of connections, idle and busy. */
	get size(): number {
		return this.#idle.length + this.#busy.size;
	}

	/**
	 * Acquires a connection for a request.
	 *
	 * @param isIdempotent - Whether the request is safe to send again.
	 * @returns The connection.
	 */
	acquire(isIdempotent: boolean): Connection {
		const connection = this.#selectConnection(isIdempotent);
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
	 * Records that a response has begun and destroys connections found unresponsive.
	 *
	 * @param connection - The connection.
	 */
	recordAnswer(connection: Connection): void {
		const nowMs = this.#options.clock.monotonicMs();
		connection.answeredAtMs = nowMs;
		const latencyMs = nowMs - connection.startedAtMs;
		this.#averageLatencyMs +=
			latencySmoothingFactor * (latencyMs - this.#averageLatencyMs);
		for (const other of this.#busy) {
			if (other.startedAtMs >= connection.startedAtMs) {
				break;
			}

			this.#recordOvertake(other, nowMs);
		}
	}

	/**
	 * Releases a connection after its request. A connection whose response was
	 * incomplete is destroyed.
	 *
	 * @param connection - The connection.
	 * @param isComplete - Whether the response was received in full.
	 */
	release(connection: Connection, isComplete: boolean): void {
		connection.requestCount--;
		if (connection.requestCount > 0) {
			return;
		}

		// An unresponsive connection has already been removed and destroyed.
		if (!this.#busy.delete(connection)) {
			return;
		}

		if (isComplete) {
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

	#selectConnection(isIdempotent: boolean): Connection {
		const newest = this.#idle.at(-1);
		if (newest !== undefined && (isIdempotent || this.#isFresh(newest))) {
			this.#idle.pop();
			return newest;
		}

		if (this.size >= this.#getMaxConnections()) {
			const oldest = this.#idle.shift();
			if (oldest === undefined) {
				return this.#getLeastBusy();
			}

			oldest.destroy();
		}

		return new Connection(this.#options);
	}

	#getMaxConnections(): number {
		const hostShare = Math.floor(
			this.maxFleetConnections / this.#options.getHostCount(),
		);
		return Math.max(1, hostShare);
	}

	#isFresh(connection: Connection): boolean {
		const ageMs =
			this.#options.clock.monotonicMs() - (connection.answeredAtMs ?? 0);
		return connection.answeredAtMs !== undefined && ageMs <= maxFreshAgeMs;
	}

	#getLeastBusy(): Connection {
		let [leastBusy] = this.#busy;
		for (const connection of this.#busy) {
			if (connection.requestCount < leastBusy!.requestCount) {
				leastBusy = connection;
			}
		}

		return leastBusy ?? new Connection(this.#options);
	}

	#recordOvertake(connection: Connection, nowMs: number): void {
		const isUnanswered =
			connection.answeredAtMs === undefined ||
			connection.answeredAtMs < connection.startedAtMs;
		if (!isUnanswered) {
			return;
		}

		connection.overtakenCount++;
		const elapsedMs = nowMs - connection.startedAtMs;
		const isTimedOut = elapsedMs > this.#getResponseTimeoutMs(connection);
		if (isTimedOut && connection.overtakenCount >= minOvertakenCount) {
			this.#destroyUnresponsive(connection);
		}
	}

	#getResponseTimeoutMs(connection: Connection): number {
		const timeoutMs = Math.max(
			minResponseTimeoutMs,
			this.#averageLatencyMs * responseTimeoutLatencyFactor,
		);
		return connection.isIdempotent
			? timeoutMs
			: timeoutMs * nonIdempotentTimeoutFactor;
	}

	/** Destroys an unresponsive connection and those that have been idle since before its request. */
	#destroyUnresponsive(unresponsive: Connection): void {
		this.#busy.delete(unresponsive);
		unresponsive.destroy();
		while (
			this.#idle.length > 0 &&
			(this.#idle[0]!.answeredAtMs ?? 0) < unresponsive.startedAtMs
		) {
			this.#idle.shift()!.destroy();
		}
	}
}
