/** Many hosts with their messages and disruptions, without a network. */

import {
	makeSeededRandom,
	type Clock,
	type RandomSource,
} from '@bilberryscale/core';
import {
	decodeMessage,
	encodeMessage,
	type GossipMessage,
} from '../../src/fleet/gossip-message.js';
import {HostClock} from '../host-clock.js';
import {EventClock} from './event-clock.js';

/** What a process of the model needs from it. */
export type ModelContext = {
	readonly clock: Clock;
	readonly random: RandomSource;
	readonly address: string;
	readonly seeds: readonly string[];
	/** Whether the whole fleet starts for the first time. */
	readonly isFirstStart: boolean;
	/** Gets the other hosts that gossip has brought; the same array until one is added. */
	readonly getPeers: () => ReadonlyArray<{readonly address: string}>;
	readonly send: (address: string, message: GossipMessage) => void;
};

/** The process of a host. */
export type ModelProcess = {
	readonly receive: (message: GossipMessage, sender: string) => void;
	readonly stop: () => void;
};

/** Something that happens to a share of the hosts. */
export type Disruption = {
	readonly kind: 'kill' | 'freeze' | 'cut' | 'lost-path' | 'move' | 'join';
	readonly atMs: number;
	readonly durationMs: number;
	/** The share of the hosts, from 0 to 1. */
	readonly share: number;
	/** The side on which a cut puts the hosts; 1 by default, and 0 is that of the others. */
	readonly side?: number;
};

/** The hosts and what happens to them. */
export type ModelFleetOptions<Process extends ModelProcess> = {
	readonly hostCount: number;
	readonly seed: number;
	readonly disruptions: readonly Disruption[];
	readonly startProcess: (context: ModelContext) => Process;
	/** Time before the first request, in which the hosts start, in milliseconds. */
	readonly leadMs?: number;
};

/** A host of the model. */
export type ModelHost<Process extends ModelProcess> = {
	readonly address: string;
	clock: HostClock;
	/** Undefined while the process is down. */
	process: Process | undefined;
	peers: ReadonlyArray<{readonly address: string}>;
	/** When gossip last brought each host that it has not forgotten, by address, in milliseconds. */
	seenAtMs: Map<string, number>;
	hasPath: boolean;
	/** The side of a cut on which it is. */
	side: number;
	/** How many callers it has, relative to the others. */
	weight: number;
};

const stepMs = 5;
const msPerSecond = 1000;
const discoveryIntervalMs = 500;
/** How much of the fleet a host gets to know in that time, as measured with the gossip of 114 hosts. */
const discoveryShare = 0.04;
const seedCount = 3;
/** Time after which gossip forgets a host that it does not hear of, in milliseconds. */
const forgettingMs = 60_000;
const lossShare = 0.01;
const usualLeadMs = 10_000;
const restartMs = 300;

/** Plays the hosts of a fleet: their clocks, messages, starts and disruptions. */
export class ModelFleet<Process extends ModelProcess> {
	readonly clock = new EventClock();
	readonly random: RandomSource;
	readonly hosts: ReadonlyArray<ModelHost<Process>>;
	/** When the first request comes, on the clock of the model, in milliseconds. */
	readonly startsAtMs: number;
	readonly #options: ModelFleetOptions<Process>;
	readonly #byAddress: ReadonlyMap<string, ModelHost<Process>>;

	constructor(options: ModelFleetOptions<Process>) {
		this.#options = options;
		this.startsAtMs = options.leadMs ?? usualLeadMs;
		this.random = makeSeededRandom(options.seed);
		this.hosts = Array.from({length: options.hostCount}, (_, index) => ({
			address: `10.${Math.floor(index / 200)}.0.${(index % 200) + 1}`,
			clock: new HostClock(this.clock),
			process: undefined,
			peers: [],
			seenAtMs: new Map(),
			hasPath: true,
			side: 0,
			weight: 0.3 + this.random(),
		}));
		this.#byAddress = new Map(this.hosts.map((host) => [host.address, host]));
	}

	/**
	 * Plays the fleet; times of disruptions count from the first request.
	 *
	 * @param durationMs - How long requests come, in milliseconds.
	 * @param requestsPerSecond - How many come.
	 * @param sendRequest - Called for each of them.
	 */
	async run(
		durationMs: number,
		requestsPerSecond: number,
		sendRequest: () => void,
	): Promise<void> {
		const {disruptions} = this.#options;
		const joining = disruptions
			.filter(({kind}) => kind === 'join')
			.flatMap((disruption) => this.#drawHosts(disruption.share));
		for (const host of this.hosts.filter((item) => !joining.includes(item))) {
			this.#start(host, true);
		}

		for (const disruption of disruptions) {
			this.clock.schedule(this.startsAtMs + disruption.atMs, () => {
				this.#disrupt(disruption, joining);
			});
		}

		const endMs = this.startsAtMs + durationMs;
		while (this.clock.monotonicMs() < endMs) {
			this.clock.advance(stepMs);
			const nowMs = this.clock.monotonicMs();
			if (nowMs % discoveryIntervalMs === 0) {
				this.#discover();
			}

			const expected =
				nowMs < this.startsAtMs
					? 0
					: (requestsPerSecond * stepMs) / msPerSecond;
			const count =
				Math.floor(expected) + (this.random() < expected % 1 ? 1 : 0);
			for (let index = 0; index < count; index++) {
				sendRequest();
			}

			await new Promise(setImmediate);
		}

		for (const {process} of this.hosts) {
			process?.stop();
		}
	}

	/**
	 * Picks a host at random, by the number of its callers.
	 *
	 * @param isSuitable - Which hosts may be picked.
	 * @returns The host; undefined if none is suitable.
	 */
	pickHost(
		isSuitable: (host: ModelHost<Process>) => boolean,
	): ModelHost<Process> | undefined {
		const hosts = this.hosts.filter((host) => isSuitable(host));
		const total = hosts.reduce((sum, {weight}) => sum + weight, 0);
		let rest = this.random() * total;
		return hosts.find(({weight}) => {
			rest -= weight;
			return rest <= 0;
		});
	}

	#start(host: ModelHost<Process>, isFirstStart: boolean): void {
		const clock = new HostClock(this.clock);
		host.clock = clock;
		host.peers = [];
		host.seenAtMs = new Map();
		host.process = this.#options.startProcess({
			clock,
			random: this.random,
			address: host.address,
			seeds: this.hosts.slice(0, seedCount).map(({address}) => address),
			isFirstStart,
			getPeers: () => host.peers,
			send: (address, message) => {
				this.#deliver(host, address, message);
			},
		});
	}

	#disrupt(
		{kind, share, durationMs, side = 1}: Disruption,
		joining: ReadonlyArray<ModelHost<Process>>,
	): void {
		const hosts = this.#drawHosts(share);
		const later = (action: () => void) => {
			this.clock.schedule(durationMs, action);
		};

		switch (kind) {
			case 'kill': {
				for (const host of hosts.filter(({process}) => process)) {
					host.clock.isStopped = true;
					host.process = undefined;
					this.clock.schedule(restartMs, () => {
						this.#start(host, false);
					});
				}

				break;
			}

			case 'freeze': {
				for (const {clock} of hosts) {
					clock.isFrozen = true;
					later(() => {
						clock.thaw();
					});
				}

				break;
			}

			case 'cut': {
				for (const host of hosts) {
					host.side = side;
					later(() => {
						host.side = 0;
					});
				}

				break;
			}

			case 'lost-path': {
				for (const host of hosts) {
					host.hasPath = false;
					later(() => {
						host.hasPath = true;
					});
				}

				break;
			}

			case 'move': {
				for (const host of hosts) {
					host.weight = 0.02;
				}

				break;
			}

			case 'join': {
				for (const host of joining) {
					if (host.process === undefined && !host.clock.isStopped) {
						this.#start(host, false);
					}
				}
			}
		}
	}

	#drawHosts(share: number): Array<ModelHost<Process>> {
		return this.hosts
			.map((host) => ({host, rank: this.random()}))
			.toSorted((a, b) => a.rank - b.rank)
			.slice(0, Math.ceil(share * this.hosts.length))
			.map(({host}) => host);
	}

	#deliver(
		from: ModelHost<Process>,
		address: string,
		message: GossipMessage,
	): void {
		const to = this.#byAddress.get(address);
		const datagram = encodeMessage(message);
		if (to?.side !== from.side || this.random() < lossShare) {
			return;
		}

		this.clock.schedule(0.5 + 4.5 * this.random(), () => {
			const received = decodeMessage(datagram);
			to.clock.run(() => {
				if (received !== undefined) {
					to.process?.receive(received, from.address);
				}
			});
		});
	}

	#discover(): void {
		const nowMs = this.clock.monotonicMs();
		for (const [index, host] of this.hosts.entries()) {
			const isUpFor = (other: ModelHost<Process>) =>
				other.process !== undefined && other.side === host.side;
			for (const other of this.hosts) {
				if (host.seenAtMs.has(other.address) && isUpFor(other)) {
					host.seenAtMs.set(other.address, nowMs);
				}
			}

			const added = this.hosts.filter(
				(other) =>
					other !== host &&
					isUpFor(other) &&
					!host.seenAtMs.has(other.address) &&
					(index < seedCount || this.random() < discoveryShare),
			);
			for (const {address} of added) {
				host.seenAtMs.set(address, nowMs);
			}

			const isForgotten = ({address}: {readonly address: string}) =>
				nowMs - (host.seenAtMs.get(address) ?? nowMs) > forgettingMs;
			const forgotten = host.peers.filter((peer) => isForgotten(peer));
			for (const {address} of forgotten) {
				host.seenAtMs.delete(address);
			}

			if (added.length > 0 || forgotten.length > 0) {
				host.peers = [
					...host.peers.filter((peer) => !forgotten.includes(peer)),
					...added,
				];
			}
		}
	}
}
