/** Fetches the hosts that others know, since gossip takes a minute to bring all of them to a host that has started. */

import type {CancelFunction, Clock, RandomSource} from '@bilberryscale/core';
import type {HostsReply, HostsRequest} from '../accounts/allotment-message.js';
import type {HostDirectory} from './host-directory.js';

/** The hosts to ask and where to store the result. */
export type HostListExchangeOptions = {
	readonly clock: Clock;
	readonly random: RandomSource;
	/** The IP address of this host. */
	readonly self: string;
	/** Gets the addresses of the seed hosts, which the others contact at their start. */
	readonly getSeeds: () => readonly string[];
	readonly directory: HostDirectory;
	readonly send: (address: string, message: HostsRequest | HostsReply) => void;
};

/** Pauses before the requests for the first list, in milliseconds; datagrams can be lost. */
const firstPausesMs = [0, 40, 80];
/** Pauses before the requests that bring hosts which have started later, in milliseconds. */
const startPausesMs = [...firstPausesMs, 400, 600, 1000, 2000];
/** Mean interval of later requests, in milliseconds. */
const laterIntervalMs = 60_000;
/** Time after which a host without any list decides with what it knows, in milliseconds. */
const maxFirstListMs = 150;
/** Entries in a datagram, which has about 20 bytes for each and fits into one packet. */
const entriesPerMessage = 60;

/** Asks a seed several times after the start and a random host once a minute after that. */
export class HostListExchange {
	readonly #options: HostListExchangeOptions;
	#requestCount = 0;
	#phase: 'new' | 'running' | 'stopped' = 'new';
	#isReady = false;
	#hasList = false;
	readonly #waiting: Array<() => void> = [];
	#cancel: CancelFunction = () => undefined;

	/**
	 * @param options - The hosts to ask and where to store the result.
	 */
	constructor(options: HostListExchangeOptions) {
		this.#options = options;
	}

	/** Starts the requests; further calls have no effect. */
	start(): void {
		if (this.#phase !== 'new') {
			return;
		}

		this.#phase = 'running';
		this.#options.clock.schedule(maxFirstListMs, () => {
			this.#endWait();
		});
		this.#schedule();
	}

	/** Stops the requests. */
	stop(): void {
		this.#phase = 'stopped';
		this.#cancel();
	}

	/**
	 * Runs an action once the first list has arrived, or cannot be expected any more.
	 *
	 * @param action - The action; it runs at once if there is nothing to wait for.
	 */
	whenReady(action: () => void): void {
		if (this.#isReady || this.#getSeeds().length === 0) {
			action();
		} else {
			this.#waiting.push(action);
		}
	}

	/**
	 * Answers a request for hosts.
	 *
	 * @param sender - The address of the host that asks.
	 */
	answer(sender: string): void {
		const {directory, send} = this.#options;
		const entries = directory.getList();
		for (
			let start = 0;
			start === 0 || start < entries.length;
			start += entriesPerMessage
		) {
			const hosts = entries.slice(start, start + entriesPerMessage);
			send(sender, {method: 'hosts-reply', hosts});
		}
	}

	/**
	 * Adds the hosts of a reply. Before the start, a reply can only be one to the previous run of this host.
	 *
	 * @param reply - The reply.
	 */
	receive({hosts}: HostsReply): void {
		for (const [address, ageSeconds] of hosts) {
			this.#options.directory.add(address, ageSeconds);
		}

		if (!this.#hasList && this.#phase === 'running') {
			this.#hasList = true;
			this.#requestCount = Math.max(this.#requestCount, firstPausesMs.length);
			this.#cancel();
			this.#schedule();
			this.#endWait();
		}
	}

	#schedule(): void {
		const {clock, random} = this.#options;
		const pauseMs =
			startPausesMs[this.#requestCount] ?? laterIntervalMs * (0.5 + random());
		this.#cancel = clock.schedule(pauseMs, () => {
			this.#request();
			this.#schedule();
		});
	}

	#request(): void {
		const {random, directory, send} = this.#options;
		const isStart = this.#requestCount < startPausesMs.length;
		this.#requestCount++;
		const seeds = this.#getSeeds();
		const candidates =
			isStart && seeds.length > 0 ? seeds : directory.getHosts();
		const address = candidates[Math.floor(random() * candidates.length)];
		if (address !== undefined) {
			send(address, {method: 'hosts-request'});
		}
	}

	#getSeeds(): string[] {
		const {getSeeds, self} = this.#options;
		return getSeeds().filter((seed) => seed !== self);
	}

	#endWait(): void {
		this.#isReady = true;
		for (const action of this.#waiting.splice(0)) {
			action();
		}
	}
}
