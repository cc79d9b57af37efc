/** Gates of many hosts that exchange messages by function calls with delay and loss, and the load on them. */

import {
	makeId,
	makeSeededRandom,
	ManualClock,
	type RandomSource,
} from '@bilberryscale/core';
import {AllotmentGate} from '../../src/accounts/allotment-gate.js';
import type {AllotmentMessage} from '../../src/accounts/allotment-message.js';
import {
	defaultAllotmentBound,
	getTolerance,
} from '../../src/accounts/allotment-tolerance.js';
import {TokenBucket} from '../../src/accounts/token-bucket.js';
import {KnownHosts} from '../../src/fleet/known-hosts.js';
import {decodeMessage, encodeMessage} from '../../src/fleet/gossip-message.js';
import type {
	ClientAccount,
	ClientAccountName,
} from '../../src/plan/client-account.js';
import {EventLog} from '../../src/records/event-log.js';
import {GatewayMetrics} from '../../src/records/gateway-metrics.js';
import {HostClock} from '../host-clock.js';
import {getRendezvousRank} from '../../src/targets/get-rendezvous-rank.js';

export function makeAccount(
	name: string,
	ratePerSecond: number,
	burst = ratePerSecond,
): ClientAccount {
	return {
		name: makeId<ClientAccountName>(name),
		keyDigests: [],
		priority: undefined,
		ratePerSecond,
		burst,
	};
}

/** 78 accounts: five large ones, the others from 1 to 5 requests per second. */
export const accounts: readonly ClientAccount[] = [
	60,
	51,
	40,
	30,
	20,
	...Array.from({length: 73}, (_, index) => 1 + (index % 5)),
].map((rate, index) => makeAccount(`account-${index}`, rate));

type Host = {
	readonly address: string;
	clock: HostClock;
	gate: AllotmentGate | undefined;
	knownHosts: KnownHosts | undefined;
	peers: ReadonlyArray<{readonly address: string}>;
};

type Arrival = {readonly atMs: number; readonly isRun: boolean};

const stepMs = 5;
const lossShare = 0.01;
const msPerSecond = 1000;
const seedCount = 3;
/** How much of the fleet a host gets to know in half a second after a start, as measured with the gossip of 114 hosts. */
const discoveryShare = 0.04;

export class GateFleet {
	readonly clock = new ManualClock();
	readonly random: RandomSource;
	readonly hosts: Host[];
	readonly arrivals = new Map<ClientAccountName, Arrival[]>();
	messageCount = 0;
	byteCount = 0;
	/** Whether a datagram gets from one host to another; a test replaces it. */
	reaches: (from: number, to: number) => boolean = () => true;
	/** Whether messages of a kind arrive at all; a test replaces it. */
	carries: (message: AllotmentMessage) => boolean = () => true;
	/** How many times its rate an account asks for; a test replaces it. */
	getDemand: (account: ClientAccount) => number = () => 1 / 1.6;
	/** The share of requests by host; a test replaces it. */
	getHost: () => number;
	accounts: readonly ClientAccount[];
	#version = 1;

	constructor(count: number, used: readonly ClientAccount[], seed = 1) {
		this.accounts = used;
		this.random = makeSeededRandom(seed);
		this.getHost = () => Math.floor(this.random() * count);
		this.hosts = Array.from({length: count}, (_, index) => ({
			address: `10.${Math.floor(index / 200)}.0.${index % 200}`,
			clock: new HostClock(this.clock),
			gate: undefined,
			knownHosts: undefined,
			peers: [],
		}));
		for (const index of this.hosts.keys()) {
			this.start(index);
		}
	}

	start(index: number): void {
		const host = this.hosts[index]!;
		const clock = new HostClock(this.clock);
		host.clock = clock;
		host.peers = [];
		const send = (address: string, message: AllotmentMessage) => {
			this.#deliver(index, address, message);
		};

		const knownHosts = new KnownHosts({
			clock,
			random: this.random,
			self: host.address,
			getPeers: () => host.peers,
			getSeeds: () =>
				this.hosts.slice(0, seedCount).map(({address}) => address),
			send,
		});
		host.knownHosts = knownHosts;
		host.gate = new AllotmentGate({
			clock,
			random: this.random,
			log: new EventLog({clock, origin: {}, writeLine: () => undefined}),
			metrics: new GatewayMetrics(),
			self: host.address,
			knownHosts,
			send,
			getBound: () => defaultAllotmentBound,
		});
		host.gate.setAccounts(this.#version, this.accounts);
	}

	stop(): void {
		for (const index of this.hosts.keys()) {
			this.kill(index);
		}
	}

	kill(index: number): void {
		this.hosts[index]!.clock.isStopped = true;
		this.hosts[index]!.gate = undefined;
		this.hosts[index]!.knownHosts = undefined;
	}

	publish(changed: readonly ClientAccount[]): void {
		this.accounts = changed;
		this.#version++;
		for (const {gate} of this.hosts) {
			gate?.setAccounts(this.#version, changed);
		}
	}

	/** Gets the hosts by their rank for an account; the first is its owner. */
	getRanked(account: ClientAccount): number[] {
		const rank = (index: number) =>
			getRendezvousRank(this.hosts[index]!.address, account.name);
		return [...this.hosts.keys()].toSorted((a, b) => rank(a) - rank(b));
	}

	/** Runs requests at random times and lets hosts discover each other. */
	async run(
		seconds: number,
		canKnow: (a: number, b: number) => boolean = () => true,
	): Promise<void> {
		const endMs = this.clock.monotonicMs() + seconds * msPerSecond;
		while (this.clock.monotonicMs() < endMs) {
			this.clock.advance(stepMs);
			if (this.clock.monotonicMs() % 500 === 0) {
				this.#discover(canKnow);
			}

			for (const account of this.accounts) {
				const expected =
					(account.ratePerSecond * this.getDemand(account) * stepMs) /
					msPerSecond;
				const count =
					Math.floor(expected) + (this.random() < expected % 1 ? 1 : 0);
				for (let index = 0; index < count; index++) {
					this.#send(account);
				}
			}

			await new Promise(setImmediate);
		}
	}

	/**
	 * Gets the largest number of requests that ran in any five seconds, as a
	 * share of what the bound allows, over all accounts.
	 */
	getMaxUse(fromMs = 0, bounds = this.accounts): number {
		const {windowMs} = defaultAllotmentBound;
		return Math.max(
			...bounds.map((account) => {
				const {name, ratePerSecond, burst} = account;
				const allowed =
					(ratePerSecond * windowMs) / msPerSecond +
					burst +
					getTolerance({planVersion: 0, ...account}, defaultAllotmentBound);
				const times = (this.arrivals.get(name) ?? [])
					.filter(({isRun, atMs}) => isRun && atMs >= fromMs)
					.map(({atMs}) => atMs);
				let first = 0;
				let most = 0;
				for (const [last, atMs] of times.entries()) {
					while (times[first]! <= atMs - windowMs) {
						first++;
					}

					most = Math.max(most, last - first + 1);
				}

				return most / allowed;
			}),
		);
	}

	/** Gets the admitted share of what one token bucket for all hosts would admit of the same requests. */
	getAdmittedShare(fromMs: number, toMs: number, of = this.accounts): number {
		let due = 0;
		let admitted = 0;
		for (const {name, ratePerSecond, burst} of of) {
			const bucket = new TokenBucket({
				ratePerSecond,
				burst,
				level: burst / 2,
				nowMs: 0,
			});
			for (const {atMs, isRun} of this.arrivals.get(name) ?? []) {
				const isDue = bucket.take(1, 1, atMs) > 0;
				if (atMs >= fromMs && atMs < toMs) {
					due += isDue ? 1 : 0;
					admitted += isRun ? 1 : 0;
				}
			}
		}

		return admitted / due;
	}

	#send(account: ClientAccount): void {
		const {gate, clock} = this.hosts[this.getHost()]!;
		if (gate === undefined) {
			return;
		}

		const arrivals = this.arrivals.get(account.name) ?? [];
		this.arrivals.set(account.name, arrivals);
		clock.run(() => {
			void gate.take(account, 'r').then(({isGranted}) => {
				arrivals.push({atMs: this.clock.monotonicMs(), isRun: isGranted});
			});
		});
	}

	#deliver(from: number, address: string, message: AllotmentMessage): void {
		const to = this.hosts.findIndex((host) => host.address === address);
		const datagram = encodeMessage(message);
		this.messageCount++;
		this.byteCount += datagram.length;
		if (
			to === -1 ||
			!this.reaches(from, to) ||
			!this.carries(message) ||
			this.random() < lossShare ||
			this.hosts[from]!.clock.isFrozen
		) {
			return;
		}

		this.clock.schedule(0.5 + 4.5 * this.random(), () => {
			const {clock, gate, knownHosts} = this.hosts[to]!;
			const received = decodeMessage(datagram) as AllotmentMessage;
			clock.run(() => {
				knownHosts?.receive(received, this.hosts[from]!.address);
				gate?.receive(received, this.hosts[from]!.address);
			});
		});
	}

	#discover(canKnow: (a: number, b: number) => boolean): void {
		for (const [index, host] of this.hosts.entries()) {
			const known = new Set(host.peers.map(({address}) => address));
			const added = this.hosts.filter(
				({address, gate}, other) =>
					other !== index &&
					gate !== undefined &&
					!known.has(address) &&
					canKnow(index, other) &&
					(index < seedCount || this.random() < discoveryShare),
			);
			if (added.length > 0) {
				host.peers = [...host.peers, ...added];
			}
		}
	}
}
