/** Connects a host to the rest of its fleet: exchanges gossip, reads snapshots from peers and serves its own. */

import type {Clock, DataCentreId, RandomSource} from '@bilberryscale/core';
import type {AllotmentMessage} from '../accounts/allotment-message.js';
import type {CapacityRecord} from '../capacity/capacity-record.js';
import type {Endpoint, GatewaySettings} from '../context/gateway-settings.js';
import {listenWhenFree} from '../edge/listen.js';
import type {SnapshotFeed} from '../snapshot/snapshot-feed.js';
import type {SnapshotSource, SourceState} from '../snapshot/snapshot-source.js';
import type {TargetIncarnation} from '../plan/registered-target.js';
import type {EventLog} from '../records/event-log.js';
import {makePortWait} from '../records/make-port-wait.js';
import type {HostPlace} from '../limits/get-rate-share.js';
import type {LoanMessage} from '../limits/loan-message.js';
import type {LimitNotice} from '../targets/limit-notice.js';
import type {WarmUpMessage} from '../warm-up/warm-up-message.js';
import {Gossip, type SharedLimitMessage} from './gossip.js';
import type {CrashNotice} from './gossip-message.js';
import {Membership, type MemberRecord} from './membership.js';
import {orderSources} from './order-sources.js';
import {PeerReader} from './peer-reader.js';
import {SnapshotServer} from './snapshot-server.js';

/** This host's settings and state, and the handlers of notices from other hosts. */
export type FleetOptions = {
	readonly settings: GatewaySettings;
	/** Gets the seed hosts, through which the others are discovered. */
	readonly getSeeds: () => readonly Endpoint[];
	readonly clock: Clock;
	readonly random: RandomSource;
	readonly log: EventLog;
	readonly store: SnapshotSource;
	/** Gets the feed that keeps this host's snapshot current. */
	readonly getFeed: () => SnapshotFeed;
	readonly onCrash: (notice: CrashNotice) => void;
	readonly onFailure: (incarnation: TargetIncarnation) => void;
	readonly onLimit: (notice: LimitNotice) => void;
	readonly onAllotment: (message: AllotmentMessage, sender: string) => void;
	readonly onLoan: (message: LoanMessage, sender: string) => void;
	readonly onWarmUp: (message: WarmUpMessage, sender: string) => void;
	/** Gets the estimates of capacity that are sent to other hosts. */
	readonly getCapacity: () => readonly CapacityRecord[];
	readonly onCapacity: (records: readonly CapacityRecord[]) => void;
};

/** Lower bound on the assumed number of hosts, as some may not be discovered yet. */
const minHostCount = 16;

/** Owns the gossip, the snapshot server and the connections to peers. */
export class Fleet {
	readonly #options: FleetOptions;
	readonly #membership: Membership;
	readonly #gossip: Gossip;
	readonly #peers = new Map<string, PeerReader>();
	#snapshotServer: SnapshotServer | undefined;

	/**
	 * @param options - The host's settings and state, and the handlers of notices.
	 */
	constructor(options: FleetOptions) {
		this.#options = options;
		const {settings, clock} = options;
		const {address} = settings.callers;
		this.#membership = new Membership({
			...options,
			address,
			dataCentre: settings.dataCentre,
			incarnation: clock.now().getTime(),
		});
		this.#gossip = new Gossip({
			...options,
			membership: this.#membership,
			address,
			dataCentre: settings.dataCentre,
			port: settings.talkPort,
			getSeeds: () => options.getSeeds().map((seed) => seed.address),
		});
	}

	/** Gets the assumed number of hosts, which share the targets and the probe rate. */
	get hostCount(): number {
		return Math.max(minHostCount, this.#membership.memberCount);
	}

	/** Gets the hosts seen within the last minute, without this one; the same array until one is added or removed. */
	get knownPeers(): readonly HostPlace[] {
		return this.#membership.knownPeers;
	}

	/**
	 * Gets the other hosts that are considered up.
	 *
	 * @returns The hosts in random order.
	 */
	getShuffledPeers(): readonly HostPlace[] {
		return this.#membership.samplePeers(Number.POSITIVE_INFINITY);
	}

	/** Gets the data centre of this host. */
	get dataCentre(): DataCentreId {
		return this.#options.settings.dataCentre;
	}

	/** Gets the position of this host among the live hosts of its data centre, from 0. */
	get rank(): number {
		const {address} = this.#options.settings.callers;
		return this.#membership
			.getSortedHosts(this.dataCentre)
			.findIndex((host) => host.address === address);
	}

	/** Starts the gossip and, if other hosts may connect, the snapshot server. */
	async start(): Promise<void> {
		const {settings, getFeed, log, clock} = this.#options;
		const wait = makePortWait(clock, log);
		await listenWhenFree(async () => this.#gossip.start(), wait);
		const {peers} = settings;
		if (peers !== undefined) {
			const server = new SnapshotServer(getFeed(), log);
			this.#snapshotServer = server;
			await listenWhenFree(async () => server.listen(peers), wait);
		}
	}

	/** Stops the gossip and closes the server and the connections to peers. */
	stop(): void {
		this.#gossip.stop();
		this.#snapshotServer?.close();
		for (const peer of this.#peers.values()) {
			peer.close();
		}
	}

	/**
	 * Gets the sources of the snapshot in the order in which they are tried.
	 *
	 * @param state - What this host has read, and which sources it can use.
	 * @returns The sources.
	 */
	getSources(state: SourceState): SnapshotSource[] {
		const {settings, store} = this.#options;
		return orderSources(
			{
				membership: this.#membership,
				address: settings.callers.address,
				dataCentre: settings.dataCentre,
				store,
				getPeer: (member) => this.#getPeer(member),
			},
			state,
		);
	}

	/**
	 * Notifies all live hosts that a target crashed while it ran a request.
	 *
	 * @param notice - The signature of the request and the incarnation of the target.
	 */
	broadcastCrash(notice: CrashNotice): void {
		this.#gossip.broadcastCrash(notice);
	}

	/**
	 * Tells one host of a target that crashed while it ran a request.
	 *
	 * @param address - The IP address of the host.
	 * @param notice - The signature of the request and the incarnation of the target.
	 */
	sendCrash(address: string, notice: CrashNotice): void {
		this.#gossip.sendCrash(address, notice);
	}

	/**
	 * Notifies some other hosts that a target failed a request.
	 *
	 * @param incarnation - The incarnation of the target.
	 */
	sendFailure(incarnation: TargetIncarnation): void {
		this.#gossip.sendFailure(incarnation);
	}

	/**
	 * Notifies all live hosts that a target has named a limit or has lifted it.
	 *
	 * @param notice - The incarnation of the target and its limit.
	 */
	broadcastLimit(notice: LimitNotice): void {
		this.#gossip.broadcastLimit(notice);
	}

	/**
	 * Sends a message about limits that all hosts share to one host.
	 *
	 * @param address - The IP address of the host.
	 * @param message - The message.
	 */
	sendTo(address: string, message: SharedLimitMessage): void {
		this.#gossip.sendTo(address, message);
	}

	#getPeer({address, dataCentre}: MemberRecord): PeerReader {
		const existing = this.#peers.get(address);
		if (existing !== undefined) {
			return existing;
		}

		const {settings, clock, log} = this.#options;
		const port = settings.peers?.port ?? 0;
		const peer = new PeerReader({
			clock,
			address: `${address}:${port}`,
			localAddress: settings.callers.address,
			onResponse: () => {
				this.#membership.recordResponse(address);
			},
			isFar: dataCentre !== settings.dataCentre,
			onFlood({kind, bytes}, pauseMs) {
				log.write('host flooded', {address, kind, bytes, pauseMs});
			},
		});
		this.#peers.set(address, peer);
		return peer;
	}
}
