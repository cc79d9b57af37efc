/** Many hosts that share one retry budget: their requests, retries, messages and disruptions, without a network. */

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
import type {RetryBudgetLimit} from '../../src/limits/retry-budget.js';
import {HostClock} from '../host-clock.js';
import {EventClock} from './event-clock.js';

/** What a host of the model needs from it. */
export type RetryHostContext = {
	readonly clock: Clock;
	readonly random: RandomSource;
	readonly address: string;
	readonly limit: RetryBudgetLimit;
	readonly seeds: readonly string[];
	/** Whether the whole fleet starts for the first time. */
	readonly isFirstStart: boolean;
	/** Gets the other hosts that gossip has brought; the same array until one is added. */
	readonly getPeers: () => ReadonlyArray<{readonly address: string}>;
	readonly send: (address: string, message: GossipMessage) => void;
};

/** The part of a host that decides about retries. */
export type RetryHost = {
	/** Counts a request of a caller that this host sends to targets. */
	readonly addRequest: () => void;
	/** Handles a request of a caller that this host forwards, and tells whether it has counted it. */
	readonly forwardRequest: () => boolean;
	/** Handles a request that another host has forwarded. */
	readonly addForwardedRequest: (isCounted: boolean) => void;
	/** Tells whether a request that targets have refused may be sent again. */
	readonly takeRetry: () => Promise<boolean>;
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
};

/** A time in which targets refuse a share of what they get. */
export type Spell = {
	readonly atMs: number;
	readonly durationMs: number;
	readonly refusedShare: number;
};

/** A fleet and what happens to it. */
export type FleetPlan = {
	readonly hostCount: number;
	readonly requestsPerSecond: number;
	readonly limit: RetryBudgetLimit;
	readonly seed: number;
	readonly disruptions: readonly Disruption[];
	readonly spells: readonly Spell[];
};

type Host = {
	readonly address: string;
	clock: HostClock;
	/** Undefined while the process is down. */
	process: RetryHost | undefined;
	peers: ReadonlyArray<{readonly address: string}>;
	hasPath: boolean;
	/** The side of a cut on which it is. */
	side: number;
	/** How many callers it has, relative to the others. */
	weight: number;
};

const stepMs = 5;
const discoveryIntervalMs = 500;
/** How much of the fleet a host gets to know in that time, as measured with the gossip of 114 hosts. */
const discoveryShare = 0.04;
const seedCount = 3;
const lossShare = 0.01;
const maxSends = 4;
/** Time before the first request, in which the hosts start. */
const leadMs = 10_000;
const restartMs = 300;

/** Plays a fleet and records when requests were sent by callers and when retries reached the targets. */
export class RetryFleet {
	readonly requests: number[] = [];
	readonly retries: number[] = [];
	refusedCount = 0;
	readonly #plan: FleetPlan;
	readonly #startHost: (context: RetryHostContext) => RetryHost;
	readonly #clock = new EventClock();
	readonly #random: RandomSource;
	readonly #hosts: Host[];
	readonly #byAddress: ReadonlyMap<string, Host>;

	constructor(
		plan: FleetPlan,
		startHost: (context: RetryHostContext) => RetryHost,
	) {
		this.#plan = plan;
		this.#startHost = startHost;
		this.#random = makeSeededRandom(plan.seed);
		this.#hosts = Array.from({length: plan.hostCount}, (_, index) => ({
			address: `10.${Math.floor(index / 200)}.0.${(index % 200) + 1}`,
			clock: new HostClock(this.#clock),
			process: undefined,
			peers: [],
			hasPath: true,
			side: 0,
			weight: 0.3 + this.#random(),
		}));
		this.#byAddress = new Map(this.#hosts.map((host) => [host.address, host]));
	}

	/**
	 * Plays the fleet; times of the plan count from the first request.
	 *
	 * @param durationMs - How long requests come, in milliseconds.
	 */
	async run(durationMs: number): Promise<void> {
		const {disruptions, requestsPerSecond} = this.#plan;
		const joining = disruptions
			.filter(({kind}) => kind === 'join')
			.flatMap((disruption) => this.#drawHosts(disruption.share));
		for (const host of this.#hosts.filter((item) => !joining.includes(item))) {
			this.#start(host, true);
		}

		for (const disruption of disruptions) {
			this.#clock.schedule(leadMs + disruption.atMs, () => {
				this.#disrupt(disruption, joining);
			});
		}

		const endMs = leadMs + durationMs;
		while (this.#clock.monotonicMs() < endMs) {
			this.#clock.advance(stepMs);
			const nowMs = this.#clock.monotonicMs();
			if (nowMs % discoveryIntervalMs === 0) {
				this.#discover();
			}

			const expected = nowMs < leadMs ? 0 : (requestsPerSecond * stepMs) / 1000;
			const count =
				Math.floor(expected) + (this.#random() < expected % 1 ? 1 : 0);
			for (let index = 0; index < count; index++) {
				this.#sendRequest();
			}

			await new Promise(setImmediate);
		}

		for (const {process} of this.#hosts) {
			process?.stop();
		}
	}

	/**
	 * Gets by how much the retries in any window exceed what the limit allows for the
	 * requests in that window, in the one before it or in the one half a window before it.
	 */
	getLargestExcess(): number {
		const {ratio, slack, windowMs} = this.#plan.limit;
		const retries = this.retries.toSorted((a, b) => a - b);
		const requests = this.requests.toSorted((a, b) => a - b);
		let excess = Number.NEGATIVE_INFINITY;
		for (const [index, startMs] of retries.entries()) {
			const most = Math.max(
				...[0, windowMs / 2, windowMs].map((shiftMs) =>
					countBetween(requests, startMs - shiftMs, windowMs),
				),
			);
			const used =
				countBefore(retries, startMs + windowMs) -
				Math.min(index, countBefore(retries, startMs));
			excess = Math.max(excess, used - ratio * most - slack);
		}

		return excess;
	}

	#start(host: Host, isFirstStart: boolean): void {
		const clock = new HostClock(this.#clock);
		host.clock = clock;
		host.peers = [];
		host.process = this.#startHost({
			clock,
			random: this.#random,
			address: host.address,
			limit: this.#plan.limit,
			seeds: this.#hosts.slice(0, seedCount).map(({address}) => address),
			isFirstStart,
			getPeers: () => host.peers,
			send: (address, message) => {
				this.#deliver(host, address, message);
			},
		});
	}

	#disrupt(
		{kind, share, durationMs}: Disruption,
		joining: readonly Host[],
	): void {
		const hosts = this.#drawHosts(share);
		const later = (action: () => void) => {
			this.#clock.schedule(durationMs, action);
		};

		switch (kind) {
			case 'kill': {
				for (const host of hosts.filter(({process}) => process)) {
					host.clock.isStopped = true;
					host.process = undefined;
					this.#clock.schedule(restartMs, () => {
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
					host.side = 1;
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

	#drawHosts(share: number): Host[] {
		return this.#hosts
			.map((host) => ({host, rank: this.#random()}))
			.toSorted((a, b) => a.rank - b.rank)
			.slice(0, Math.ceil(share * this.#hosts.length))
			.map(({host}) => host);
	}

	#sendRequest(): void {
		this.requests.push(this.#clock.monotonicMs());
		const host = this.#pickHost(({process}) => process !== undefined);
		host?.clock.run(() => {
			void this.#serve(host);
		});
	}

	#pickHost(isSuitable: (host: Host) => boolean): Host | undefined {
		const hosts = this.#hosts.filter((host) => isSuitable(host));
		const total = hosts.reduce((sum, {weight}) => sum + weight, 0);
		let rest = this.#random() * total;
		return hosts.find(({weight}) => {
			rest -= weight;
			return rest <= 0;
		});
	}

	/** Serves a request of a caller, through another host if this one reaches no target. */
	async #serve(host: Host): Promise<void> {
		if (host.hasPath) {
			host.process?.addRequest();
			await this.#sendToTargets(host);
			return;
		}

		const other = this.#pickHost(
			({process, hasPath, side}) =>
				process !== undefined && hasPath && side === host.side,
		);
		const isCounted = host.process?.forwardRequest() === true;
		other?.clock.run(() => {
			other.process?.addForwardedRequest(isCounted);
			void this.#sendToTargets(other);
		});
	}

	async #sendToTargets(host: Host): Promise<void> {
		const {clock, process} = host;
		for (let sends = 1; sends < maxSends && this.#isRefused(); sends++) {
			this.refusedCount++;
			if (process === undefined || !(await process.takeRetry())) {
				return;
			}

			const arrivesMs = clock.monotonicMs() + 5 * this.#random();
			await new Promise<void>((resolve) => {
				clock.schedule(arrivesMs - clock.monotonicMs(), resolve);
			});
			this.retries.push(arrivesMs);
		}
	}

	#isRefused(): boolean {
		const nowMs = this.#clock.monotonicMs() - leadMs;
		const spell = this.#plan.spells.find(
			({atMs, durationMs}) => nowMs >= atMs && nowMs < atMs + durationMs,
		);
		return this.#random() < (spell?.refusedShare ?? 0.01);
	}

	#deliver(from: Host, address: string, message: GossipMessage): void {
		const to = this.#byAddress.get(address);
		const datagram = encodeMessage(message);
		if (to?.side !== from.side || this.#random() < lossShare) {
			return;
		}

		this.#clock.schedule(0.5 + 4.5 * this.#random(), () => {
			const received = decodeMessage(datagram);
			to.clock.run(() => {
				if (received !== undefined) {
					to.process?.receive(received, from.address);
				}
			});
		});
	}

	#discover(): void {
		for (const [index, host] of this.#hosts.entries()) {
			const known = new Set(host.peers.map(({address}) => address));
			const added = this.#hosts.filter(
				(other) =>
					other !== host &&
					other.process !== undefined &&
					other.side === host.side &&
					!known.has(other.address) &&
					(index < seedCount || this.#random() < discoveryShare),
			);
			if (added.length > 0) {
				host.peers = [...host.peers, ...added];
			}
		}
	}
}

/** Counts the values of a sorted list in a span of time. */
function countBetween(
	times: readonly number[],
	startMs: number,
	durationMs: number,
): number {
	return countBefore(times, startMs + durationMs) - countBefore(times, startMs);
}

/** Counts the values of a sorted list that are less than a bound. */
function countBefore(times: readonly number[], boundMs: number): number {
	let low = 0;
	let high = times.length;
	while (low < high) {
		const middle = Math.floor((low + high) / 2);
		if (times[middle]! < boundMs) {
			low = middle + 1;
		} else {
			high = middle;
		}
	}

	return low;
}
