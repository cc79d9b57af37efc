/** The other hosts of the fleet, as this host knows them from gossip and from lists that it asks for. */

import type {Clock, RandomSource} from '@bilberryscale/core';
import type {
	AllotmentMessage,
	HostsReply,
	HostsRequest,
} from '../accounts/allotment-message.js';
import type {HostPlace} from '../limits/get-rate-share.js';
import {HostDirectory} from './host-directory.js';
import {HostListExchange} from './host-list-exchange.js';

/** This host and how it gets to know the others. */
export type KnownHostsOptions = {
	readonly clock: Clock;
	readonly random: RandomSource;
	/** The IP address of this host. */
	readonly self: string;
	/** Gets the other hosts that gossip has brought; the same array until one is added or removed. */
	readonly getPeers: () => ReadonlyArray<Pick<HostPlace, 'address'>>;
	/** Gets the addresses of the seed hosts; some of them may no longer exist. */
	readonly getSeeds: () => readonly string[];
	/** Sends a datagram to another host. */
	readonly send: (address: string, message: HostsRequest | HostsReply) => void;
};

/** Keeps the list of hosts and exchanges it with others. */
export class KnownHosts {
	readonly directory: HostDirectory;
	readonly #exchange: HostListExchange;

	/**
	 * @param options - This host and how it gets to know the others.
	 */
	constructor(options: KnownHostsOptions) {
		this.directory = new HostDirectory(options);
		this.#exchange = new HostListExchange({
			...options,
			directory: this.directory,
		});
	}

	/** Starts to ask for lists; further calls have no effect. */
	start(): void {
		this.#exchange.start();
	}

	/** Stops to ask for lists. */
	stop(): void {
		this.#exchange.stop();
	}

	/**
	 * Runs an action once the first list has arrived, or cannot be expected any more.
	 *
	 * @param action - The action; it runs at once if there is nothing to wait for.
	 */
	whenReady(action: () => void): void {
		this.#exchange.whenReady(action);
	}

	/**
	 * Adds the sender of a message, and answers or reads it if it is about the list.
	 *
	 * @param message - The message.
	 * @param sender - The address of the other host.
	 */
	receive(message: Pick<AllotmentMessage, 'method'>, sender: string): void {
		this.directory.add(sender);
		if (message.method === 'hosts-request') {
			this.#exchange.answer(sender);
		} else if (isHostsReply(message)) {
			this.#exchange.receive(message);
		}
	}
}

function isHostsReply(message: {
	readonly method: string;
}): message is HostsReply {
	return message.method === 'hosts-reply';
}
