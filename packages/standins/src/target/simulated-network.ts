/** Simulates network delays, partitions and unresponsive connections of a target. */

import type {Socket} from 'node:net';
import type {Clock} from '@bilberryscale/core';
import type {SourceLink} from './target-behaviour.js';

/** The network of a target, before changes to the links from single sources. */
export type SimulatedNetworkOptions = {
	/** The index of the target's data centre, which is the third octet of IP addresses. */
	readonly dataCentreIndex: number;
	/** The one-way delay to other data centres in milliseconds. */
	readonly delayMs: number;
	/** The time that it takes to establish a connection, in milliseconds. */
	readonly newConnectionMs: number;
	readonly clock: Clock;
};

const dataCentreOctet = 2;

/** The connections to one target and the delays and faults on them. */
export class SimulatedNetwork {
	readonly #options: SimulatedNetworkOptions;
	readonly #openSockets = new Set<Socket>();
	readonly #silenced = new WeakSet<Socket>();
	readonly #establishedAtMs = new WeakMap<Socket, number>();
	#sourceLinks: readonly SourceLink[] = [];

	/**
	 * @param options - The delays before changes to the links from single sources.
	 */
	constructor(options: SimulatedNetworkOptions) {
		this.#options = options;
	}

	/** Gets the number of open connections. */
	get openConnectionCount(): number {
		return this.#openSockets.size;
	}

	/**
	 * Adds a new connection.
	 *
	 * @param socket - The socket of the connection.
	 */
	addConnection(socket: Socket): void {
		const {clock, newConnectionMs} = this.#options;
		this.#establishedAtMs.set(socket, clock.monotonicMs() + newConnectionMs);
		this.#openSockets.add(socket);
		socket.once('close', () => {
			this.#openSockets.delete(socket);
		});
	}

	/**
	 * Replaces the delays and partitions of single sources.
	 *
	 * @param links - The links that differ; other sources have the default network.
	 */
	setSourceLinks(links: readonly SourceLink[]): void {
		this.#sourceLinks = links;
	}

	/** Makes the currently open connections unresponsive without closing them. */
	silenceOpenConnections(): void {
		for (const socket of this.#openSockets) {
			this.#silenced.add(socket);
		}
	}

	/** Resets every open connection. */
	resetAllConnections(): void {
		for (const socket of this.#openSockets) {
			socket.resetAndDestroy();
		}
	}

	/**
	 * Checks whether a connection is unresponsive.
	 *
	 * @param socket - The socket of the connection.
	 * @returns True if the connection was silenced or its source is partitioned.
	 */
	isSilent(socket: Socket): boolean {
		return this.#silenced.has(socket) || this.#findLink(socket)?.isCut === true;
	}

	/**
	 * Gets the one-way delay of a connection.
	 *
	 * @param socket - The socket of the connection.
	 * @returns The duration in milliseconds.
	 */
	getDelayMs(socket: Socket): number {
		const {dataCentreIndex, delayMs} = this.#options;
		const sourceDataCentreIndex = Number(
			socket.remoteAddress?.split('.')[dataCentreOctet],
		);
		const baseDelayMs = sourceDataCentreIndex === dataCentreIndex ? 0 : delayMs;
		return baseDelayMs + (this.#findLink(socket)?.delayMs ?? 0);
	}

	/**
	 * Gets the remaining time until a connection is established.
	 *
	 * @param socket - The socket of the connection.
	 * @returns The duration in milliseconds.
	 */
	getRemainingSetupMs(socket: Socket): number {
		const establishedAtMs = this.#establishedAtMs.get(socket) ?? 0;
		return Math.max(0, establishedAtMs - this.#options.clock.monotonicMs());
	}

	#findLink(socket: Socket): SourceLink | undefined {
		const address = socket.remoteAddress ?? '';
		return this.#sourceLinks.find(({source}) => address.startsWith(source));
	}
}
