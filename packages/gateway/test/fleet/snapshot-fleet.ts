/** A model of a fleet that reads snapshots, without a network: the feeds are real, links and store are not. */

import {Buffer} from 'node:buffer';
import {
	makeId,
	makeSeededRandom,
	ManualClock,
	type DataCentreId,
} from '@bilberryscale/core';
import {Err, Ok, type Result} from 'ts-results-es';
import type {MemberRecord} from '../../src/fleet/membership.js';
import {orderSources} from '../../src/fleet/order-sources.js';
import {GatewayMetrics} from '../../src/records/gateway-metrics.js';
import {FreshnessBudget} from '../../src/snapshot/freshness-budget.js';
import {SnapshotFeed} from '../../src/snapshot/snapshot-feed.js';
import type {
	PublishedChange,
	PublishedChanges,
	ReadError,
	SnapshotSource,
} from '../../src/snapshot/snapshot-source.js';
import {
	decodeTestItem,
	makeChanges,
	makeTestLog,
	makeUpdate,
} from '../fixtures.js';

const dataCentres = ['a', 'b', 'c'].map((id) => makeId<DataCentreId>(id));
const latencyMs = {near: 1, far: 2, store: 4};
/** How long a host waits for the beginning of a response beyond the wait that it asked for, in milliseconds. */
const timeoutMs = {store: 450, peer: 300};
const stepMs = 2;
const targetText = 'x'.repeat(250);

/** A host of the model. */
export type ModelHost = {
	readonly address: string;
	readonly dataCentre: DataCentreId;
	readonly feed: SnapshotFeed;
	/** Whether the store does not respond to it. */
	isCut: boolean;
	/** Whether it does not respond to others; its own reads go on. */
	isSilent: boolean;
};

/** What the reads have cost. */
export type ReadCounts = {
	storeCalls: number;
	nearBytes: number;
	farBytes: number;
};

/** Runs the feeds of all hosts on one clock. */
export class SnapshotFleet {
	readonly hosts: readonly ModelHost[];
	readonly counts: ReadCounts = {storeCalls: 0, nearBytes: 0, farBytes: 0};
	/** Whether the store does not respond to any host. */
	isStoreDown = false;
	readonly #clock = new ManualClock();
	readonly #log = makeTestLog(this.#clock).log;
	readonly #random = makeSeededRandom(64);
	readonly #items: PublishedChange[] = [
		makeUpdate('plan', 1, '1'),
		...Array.from({length: 40}, (_, index) =>
			makeUpdate(`t-${index}`, index + 2, targetText),
		),
	];

	readonly #watchers = new Set<() => void>();

	/**
	 * @param hostCount - How many hosts there are, spread over three data centres.
	 * @param maxChangeDelayMs - The published bound, in milliseconds.
	 */
	constructor(hostCount: number, maxChangeDelayMs: number) {
		const budget = new FreshnessBudget(() => ({
			maxChangeDelayMs,
			recoveryMs: 3000,
		}));
		this.hosts = Array.from({length: hostCount}, (_, index) =>
			this.#makeHost(index, hostCount, budget),
		);
	}

	/** Gets the revision of the store. */
	get revision(): number {
		return Math.max(...this.#items.map(({revision}) => revision));
	}

	/**
	 * Gets the first hosts of each data centre, in the order in which others read from them.
	 *
	 * @param count - How many of each.
	 * @returns The hosts.
	 */
	getFirstHosts(count: number): ModelHost[] {
		return dataCentres.flatMap((id) =>
			this.hosts.filter(({dataCentre}) => dataCentre === id).slice(0, count),
		);
	}

	/** Starts all hosts. */
	start(): void {
		for (const {feed} of this.hosts) {
			this.#clock.schedule(this.#random() * 400, () => {
				void feed.run();
			});
		}
	}

	/** Stops all hosts. */
	stop(): void {
		for (const {feed} of this.hosts) {
			feed.stop();
		}
	}

	/** Publishes a change of the plan. */
	publish(): void {
		const revision = this.revision + 1;
		this.#items.push(makeUpdate('plan', revision, String(revision)));
		for (const notify of this.#watchers) {
			notify();
		}
	}

	/**
	 * Runs all hosts for some time.
	 *
	 * @param durationMs - The time in milliseconds.
	 * @param isDone - Ends the run early; never by default.
	 * @returns How long it took, in milliseconds.
	 */
	async run(
		durationMs: number,
		isDone: () => boolean = () => false,
	): Promise<number> {
		let elapsedMs = 0;
		for (; elapsedMs < durationMs && !isDone(); elapsedMs += stepMs) {
			this.#clock.advance(stepMs);
			await new Promise(setImmediate);
		}

		return elapsedMs;
	}

	async #sleep(durationMs: number): Promise<void> {
		await new Promise<void>((resolve) => {
			this.#clock.schedule(durationMs, resolve);
		});
	}

	#makeHost(
		index: number,
		hostCount: number,
		budget: FreshnessBudget,
	): ModelHost {
		const dataCentre = dataCentres[index % 3]!;
		const address = getAddress(index);
		const members = Array.from(
			{length: hostCount},
			(_, other): MemberRecord => ({
				address: getAddress(other),
				dataCentre: dataCentres[other % 3]!,
				incarnation: 1,
				heartbeat: 1,
			}),
		);
		const membership = {
			getSortedHosts: (id: DataCentreId) =>
				members.filter((member) => member.dataCentre === id),
			getLiveDataCentres: () => dataCentres.slice(0, hostCount),
		};
		const peers = new Map<string, SnapshotSource>();
		const getPeer = (member: MemberRecord): SnapshotSource => {
			const peer =
				peers.get(member.address) ?? this.#makePeer(host, member.address);
			peers.set(member.address, peer);
			return peer;
		};

		const store = this.#makeStore(() => host);
		const directStore = this.#makeStore(() => host);
		const feed = new SnapshotFeed({
			clock: this.#clock,
			random: makeSeededRandom(index),
			log: this.#log,
			metrics: new GatewayMetrics().snapshot,
			decode: decodeTestItem,
			address,
			getSources: (state) =>
				orderSources({membership, address, dataCentre, store, getPeer}, state),
			directStore,
			budget,
			getRank: () => Math.floor(index / 3),
			getHostCount: () => Math.max(16, hostCount),
			expectsPeers: () => true,
			onSnapshot: () => undefined,
			onCaughtUp: () => undefined,
		});
		const host: ModelHost = {
			address,
			dataCentre,
			feed,
			isCut: false,
			isSilent: false,
		};
		return host;
	}

	#makeStore(getHost: () => ModelHost): SnapshotSource {
		const isReachable = () => !this.isStoreDown && !getHost().isCut;
		const read = async (
			waitMs: number,
			get: () => PublishedChanges,
		): Promise<Result<PublishedChanges, ReadError>> => {
			this.counts.storeCalls++;
			await this.#sleep(latencyMs.store / 2);
			const formerRevision = this.revision;
			await this.#waitForChange(waitMs);
			const hasChanged = this.revision > formerRevision;
			const changes = {...get(), heldMs: hasChanged ? 0 : waitMs};
			await this.#sleep(latencyMs.store / 2);
			if (isReachable()) {
				return Ok(changes);
			}

			await this.#sleep(timeoutMs.store);
			return Err({isHistoryGone: false, detail: 'no response'});
		};

		return {
			name: 'store',
			isStore: true,
			readAll: async () =>
				read(0, () => makeChanges(this.revision, this.#items, true)),
			readChanges: async ({revision}, waitMs) =>
				read(this.revision > revision ? 0 : waitMs, () =>
					makeChanges(
						this.revision,
						this.#items.filter((item) => item.revision > revision),
					),
				),
		};
	}

	async #waitForChange(waitMs: number): Promise<void> {
		await new Promise<void>((resolve) => {
			const finish = () => {
				cancel();
				this.#watchers.delete(finish);
				resolve();
			};

			const cancel = this.#clock.schedule(waitMs, finish);
			this.#watchers.add(finish);
		});
	}

	#makePeer(reader: ModelHost, address: string): SnapshotSource {
		const peer = this.hosts.find((host) => host.address === address)!;
		const side = reader.dataCentre === peer.dataCentre ? 'near' : 'far';
		let confirmationCount: number | undefined;
		const read = async (
			waitMs: number,
			get: () => Promise<PublishedChanges>,
		): Promise<Result<PublishedChanges, ReadError>> => {
			await this.#sleep(latencyMs[side]);
			if (peer.isSilent) {
				await this.#sleep(waitMs + timeoutMs.peer);
				return Err({isHistoryGone: false, detail: 'no response'});
			}

			const changes = await get();
			await this.#sleep(latencyMs[side]);
			this.counts[`${side}Bytes`] += Buffer.byteLength(JSON.stringify(changes));
			({confirmationCount} = changes);
			return Ok(changes);
		};

		return {
			name: `host ${address}`,
			isStore: false,
			readAll: async () =>
				read(0, async () => peer.feed.getChangesAfter(undefined)),
			readChanges: async (position, waitMs) =>
				read(waitMs, async () => {
					const heldMs = await peer.feed.waitForChange(
						position,
						waitMs,
						confirmationCount,
					);
					return {...peer.feed.getChangesAfter(position), heldMs};
				}),
		};
	}
}

function getAddress(index: number): string {
	return `10.${index % 3}.0.${100 + Math.floor(index / 3)}`;
}
