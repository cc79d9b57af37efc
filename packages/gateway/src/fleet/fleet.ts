/** The other hosts: who they are, what they know and what they saw. */

import type {Clock, DataCentreId, RandomSource} from '@bilberryscale/core';
import type {Endpoint, GatewaySettings} from '../context/gateway-settings.js';
import type {SnapshotFeed} from '../snapshot/snapshot-feed.js';
import type {PublishedReader} from '../snapshot/snapshot-source.js';
import type {TargetLife} from '../plan/registered-target.js';
import type {EventLog} from '../records/event-log.js';
import type {CrashNotice} from './fleet-messages.js';
import {FleetTalk} from './fleet-talk.js';
import {KnowledgeServer} from './knowledge-server.js';
import {Membership, type MemberRecord} from './membership.js';
import {PeerReader} from './peer-reader.js';
import {getReaders} from './reader-choice.js';

/** What the fleet works with. */
export type FleetOptions = {
	readonly settings: GatewaySettings;
	/** Gets some hosts by which the others are found. */
	readonly getSeeds: () => readonly Endpoint[];
	readonly clock: Clock;
	readonly random: RandomSource;
	readonly log: EventLog;
	readonly store: PublishedReader;
	/** Gets what this host knows. */
	readonly getFeed: () => SnapshotFeed;
	readonly onCrash: (notice: CrashNotice) => void;
	readonly onFailure: (life: TargetLife) => void;
};

/** Hosts are assumed to be so many at least, as others may not be heard of yet. */
const fewestHosts = 16;

/** Owns what connects this host to the others. */
export class Fleet {
	readonly #options: FleetOptions;
	readonly #membership: Membership;
	readonly #talk: FleetTalk;
	readonly #peers = new Map<string, PeerReader>();
	#server: KnowledgeServer | undefined;

	/**
	 * @param options - This host.
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
		this.#talk = new FleetTalk({
			...options,
			membership: this.#membership,
			address,
			port: settings.talkPort,
			getSeeds: () => options.getSeeds().map((seed) => seed.address),
		});
	}

	/** Gets how many hosts share targets and allowances. */
	get hostCount(): number {
		return Math.max(fewestHosts, this.#membership.knownCount);
	}

	/** Gets the data centre of this host. */
	get dataCentre(): DataCentreId {
		return this.#options.settings.dataCentre;
	}

	/** Starts to listen and to tell. */
	async start(): Promise<void> {
		const {settings, getFeed} = this.#options;
		await this.#talk.start();
		if (settings.peers !== undefined) {
			this.#server = new KnowledgeServer(getFeed());
			await this.#server.listen(settings.peers);
		}
	}

	/** Stops listening and telling. */
	stop(): void {
		this.#talk.stop();
		this.#server?.close();
		for (const peer of this.#peers.values()) {
			peer.close();
		}
	}

	/**
	 * Gets the sources of knowledge in the order in which they are to be tried.
	 *
	 * @param hasKnowledge - Whether this host knows anything yet.
	 * @returns The sources.
	 */
	getReaders(hasKnowledge: boolean): PublishedReader[] {
		const {settings, store} = this.#options;
		return getReaders(
			{
				membership: this.#membership,
				address: settings.callers.address,
				dataCentre: settings.dataCentre,
				store,
				getPeer: (member) => this.#getPeer(member),
			},
			hasKnowledge,
		);
	}

	/**
	 * Tells all hosts of a target that ended under a request.
	 *
	 * @param notice - The request and the target.
	 */
	tellCrash(notice: CrashNotice): void {
		this.#talk.tellCrash(notice);
	}

	/**
	 * Tells other hosts that a target failed a request.
	 *
	 * @param life - The target.
	 */
	tellFailure(life: TargetLife): void {
		this.#talk.tellFailure(life);
	}

	#getPeer({address}: MemberRecord): PeerReader {
		const known = this.#peers.get(address);
		if (known !== undefined) {
			return known;
		}

		const {settings, clock} = this.#options;
		const port = settings.peers?.port ?? 0;
		const peer = new PeerReader({
			clock,
			address: `${address}:${port}`,
			localAddress: settings.callers.address,
			onAnswer: () => {
				this.#membership.noteAnswer(address);
			},
		});
		this.#peers.set(address, peer);
		return peer;
	}
}
