/** The network on a target's side: delays, cuts and silent connections. */

import type {Socket} from 'node:net';
import type {Clock} from '@bilberryscale/core';
import type {SourceLink} from './behaviour.js';

/** The network of a target when nothing was changed. */
export type LinksOptions = {
	/** The number of the target's own data centre in addresses. */
	readonly dataCentreIndex: number;
	/** The one-way delay to other data centres in milliseconds. */
	readonly delayMs: number;
	/** What setting up a connection takes, in milliseconds. */
	readonly newConnectionMs: number;
	readonly clock: Clock;
};

const centrePart = 2;

/** All connections to one target. */
export class Links {
	readonly #options: LinksOptions;
	readonly #open = new Set<Socket>();
	readonly #silent = new WeakSet<Socket>();
	readonly #usableAtMs = new WeakMap<Socket, number>();
	#changed: readonly SourceLink[] = [];

	/**
	 * @param options - The network when nothing was changed.
	 */
	constructor(options: LinksOptions) {
		this.#options = options;
	}

	/** Gets how many connections are open. */
	get openCount(): number {
		return this.#open.size;
	}

	/**
	 * Takes in a new connection.
	 *
	 * @param socket - The connection.
	 */
	add(socket: Socket): void {
		const {clock, newConnectionMs} = this.#options;
		this.#usableAtMs.set(socket, clock.monotonicMs() + newConnectionMs);
		this.#open.add(socket);
		socket.once('close', () => {
			this.#open.delete(socket);
		});
	}

	/**
	 * Changes the network towards some sources.
	 *
	 * @param links - The changed links; all others are as usual.
	 */
	setChanged(links: readonly SourceLink[]): void {
		this.#changed = links;
	}

	/** Lets nothing more through on the connections that are open now. */
	silenceOpen(): void {
		for (const socket of this.#open) {
			this.#silent.add(socket);
		}
	}

	/** Cuts every connection. */
	cutAll(): void {
		for (const socket of this.#open) {
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
		return this.#silent.has(socket) || this.#findLink(socket)?.isCut === true;
	}

	/**
	 * Gets the one-way delay of a connection.
	 *
	 * @param socket - The connection.
	 * @returns Milliseconds.
	 */
	getDelayMs(socket: Socket): number {
		const {dataCentreIndex, delayMs} = this.#options;
		const centre = Number(socket.remoteAddress?.split('.')[centrePart]);
		const usualMs = centre === dataCentreIndex ? 0 : delayMs;
		return usualMs + (this.#findLink(socket)?.delayMs ?? 0);
	}

	/**
	 * Gets what is left of setting up a connection.
	 *
	 * @param socket - The connection.
	 * @returns Milliseconds.
	 */
	getSetUpMs(socket: Socket): number {
		const usableAtMs = this.#usableAtMs.get(socket) ?? 0;
		return Math.max(0, usableAtMs - this.#options.clock.monotonicMs());
	}

	#findLink(socket: Socket): SourceLink | undefined {
		const address = socket.remoteAddress ?? '';
		return this.#changed.find(({source}) => address.startsWith(source));
	}
}
