/** The network on a target's side: delays, cuts and silent connections. */

import type {Socket} from 'node:net';
import type {Clock} from '@bilberryscale/core';
import type {SourceLink} from './target-behaviour.js';

/** The network of a target when nothing was changed. */
export type SimulatedNetworkOptions = {
	/** The number of the target's own data centre in addresses. */
	readonly dataCentreIndex: number;
	/** The one-way delay to other data centres in milliseconds. */
	readonly delayMs: number;
	/** What setting up a connection takes, in milliseconds. */
	readonly newConnectionMs: number;
	readonly clock: Clock;
};

const dataCentreOctet = 2;

/** All connections to one target. */
export class SimulatedNetwork {
	readonly #options: SimulatedNetworkOptions;
	readonly #openSockets = new Set<Socket>();
	readonly #silentSockets = new WeakSet<Socket>();
	readonly #establishedAtMs = new WeakMap<Socket, number>();
	#sourceLinks: readonly SourceLink[] = [];

	/**
	 * @param options - The network when nothing was changed.
	 */
	constructor(options: SimulatedNetworkOptions) {
		this.#options = options;
	}

	/** Gets how many connections are open. */
	get openConnectionCount(): number {
		return this.#openSockets.size;
	}

	/**
	 * Takes in a new connection.
	 *
	 * @param socket - The connection.
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
	 * Changes the network towards some sources.
	 *
	 * @param links - The changed links; all others are as usual.
	 */
	setSourceLinks(links: readonly SourceLink[]): void {
		this.#sourceLinks = links;
	}

	/** Lets nothing more through on the connections that are open now. */
	silenceOpenConnections(): void {
		for (const socket of this.#openSockets) {
			this.#silentSockets.add(socket);
		}
	}

	/** Cuts every connection. */
	resetAllConnections(): void {
		for (const socket of this.#openSockets) {
			socket.resetAndDestroy();
		}
	}

	/**
	 * Tells whether nothing comes through.
	 *
	 * @param socket - The connection.
	 * @returns True if it is silent or its source is cut off.
	 */
	isSilent(socket: Socket): boolean {
		return this.#silentSockets.has(socket) || this.#findLink(socket)?.isCut === true;
	}

	/**
	 * Gets the one-way delay of a connection.
	 *
	 * @param socket - The connection.
	 * @returns Milliseconds.
	 */
	getDelayMs(socket: Socket): number {
		const {dataCentreIndex, delayMs} = this.#options;
		const sourceDataCentreIndex = Number(socket.remoteAddress?.split('.')[dataCentreOctet]);
		const baseDelayMs = sourceDataCentreIndex === dataCentreIndex ? 0 : delayMs;
		return baseDelayMs + (this.#findLink(socket)?.delayMs ?? 0);
	}

	/**
	 * Gets what is left of setting up a connection.
	 *
	 * @param socket - The connection.
	 * @returns Milliseconds.
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
