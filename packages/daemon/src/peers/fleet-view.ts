/** What this host knows of the fleet and holds in it; does no I/O. */

import {
	type AuditSink,
	type Clock,
	type HostId,
	type IdempotencyKey,
} from '@bilberryscale/core';
import {
	BucketSet,
	FleetClock,
	Grantor,
	KeyKeeper,
	KeyMaker,
	RecordBook,
	TenureHolder,
	allBuckets,
	getBucket,
	getHome,
	usualRecordBounds,
	type Bucket,
	type KeyDecision,
	type RunEnd,
	type TenurePolicy,
} from '@bilberryscale/once';
import {
	Membership,
	type Heartbeat,
	type HeartbeatReply,
	type Peer,
	type PeerIdentity,
	type PeerState,
	type PublishedHost,
} from '@bilberryscale/peers';
import {randomUnit} from './random-unit.js';

/** What a view works with. */
export type FleetViewOptions = {
	readonly self: PeerIdentity;
	readonly policy: TenurePolicy;
	readonly clock: Clock;
	readonly audit: AuditSink;
	/** How long a peer may be silent, in milliseconds. */
	readonly silenceMs: number;
	/** Whether this host runs without peers and need not wait for anyone. */
	readonly isAlone: boolean;
	readonly getBundleVersion: () => number;
};

/** One round of claims to all published hosts. */
export type Round = {
	readonly sequence: number;
	readonly sentAtMs: number;
	readonly wanted: BucketSet;
	readonly state: PeerState;
};

/** Where the keys of a bucket are to be run. */
export type Route =
	| {readonly kind: 'here'}
	| {readonly kind: 'peer'; readonly peer: Peer}
	| {readonly kind: 'nowhere'};

type ClockReport = {
	readonly offsetMs: number;
	readonly isOfFleet: boolean;
};

/** The view of one incarnation. */
export class FleetView {
	readonly membership: Membership;
	readonly #options: FleetViewOptions;
	readonly #grantor: Grantor;
	readonly #holder: TenureHolder;
	readonly #records = new RecordBook(usualRecordBounds);
	readonly #keyMaker = new KeyMaker(randomUnit);
	readonly #clockReports = new Map<HostId, ClockReport>();
	#phase: PeerState['phase'] = 'starting';
	#fleetClock: FleetClock | undefined;
	#keeper: KeyKeeper | undefined;
	#sequence = 0;
	#wanted = BucketSet.empty;
	#held = BucketSet.empty;
	#servingSinceMs = Number.POSITIVE_INFINITY;

	/**
	 * @param options - Who this host is and the rules of the fleet.
	 */
	constructor(options: FleetViewOptions) {
		this.#options = options;
		const {self, policy, silenceMs, clock, isAlone} = options;
		this.membership = new Membership({self, silenceMs});
		this.#holder = new TenureHolder(policy);
		this.#grantor = new Grantor({
			policy,
			startedAtMs: isAlone ? Number.NEGATIVE_INFINITY : clock.monotonicMs(),
		});
	}

	/** Gets the place of this host in its view; undefined while it is no member. */
	get share(): {readonly size: number; readonly rank: number} | undefined {
		const members = this.#getMembers(this.#options.clock.monotonicMs());
		const rank = members.indexOf(this.#options.self.host);
		return rank === -1 ? undefined : {size: members.length, rank};
	}

	/** Gets the buckets that this host holds. */
	get held(): BucketSet {
		return this.#holder.getHeld(this.#options.clock.monotonicMs());
	}

	/**
	 * Tells whether this host has taken its part in the fleet.
	 *
	 * @param settleMs - How long it must have served, in milliseconds.
	 * @returns True if it has.
	 */
	hasSettled(settleMs: number): boolean {
		const nowMs = this.#options.clock.monotonicMs();
		return nowMs >= this.#servingSinceMs + settleMs;
	}

	/**
	 * Takes a newer list of the platform.
	 *
	 * @param published - The hosts.
	 */
	setPublished(published: readonly PublishedHost[]): void {
		this.membership.setPublished(published);
		this.#holder.setPublished(
			published.map(({host}) => host),
			this.#options.clock.monotonicMs(),
		);
	}

	/** Leaves the fleet: gives up every bucket at the next round. */
	leave(): void {
		this.#phase = 'leaving';
	}

	/**
	 * Begins a round: decides what to hold and grants its own part.
	 *
	 * @returns What to send to every published host.
	 */
	beginRound(): Round {
		const nowMs = this.#options.clock.monotonicMs();
		this.#serveIfPossible(nowMs);
		const wanted = this.#getWanted(nowMs);
		const dropped = this.#wanted
			.getBuckets()
			.filter((bucket) => !wanted.has(bucket));
		this.#holder.giveUp(new BucketSet(dropped), this.#sequence);
		this.#wanted = wanted;
		this.#sequence++;
		const {host, incarnation} = this.#options.self;
		const sequence = this.#sequence;
		const claim = {claimant: incarnation, sequence, wanted};
		const buckets = this.#grantor.grant(claim, nowMs);
		this.#addGrants(host, {sequence, sentAtMs: nowMs, buckets}, nowMs);
		return {sequence, sentAtMs: nowMs, wanted, state: this.#getState(nowMs)};
	}

	/**
	 * Answers a peer's heartbeat.
	 *
	 * @param message - The heartbeat.
	 * @returns The grants and the state of this host.
	 */
	takeHeartbeat(message: Heartbeat): HeartbeatReply {
		const nowMs = this.#options.clock.monotonicMs();
		const isCurrent = this.membership.addSighting(
			message.from,
			message.state,
			nowMs,
		);
		const claim = {
			claimant: message.from.incarnation,
			sequence: message.sequence,
			wanted: BucketSet.fromHex(message.wanted),
		};
		const granted = isCurrent
			? this.#grantor.grant(claim, nowMs)
			: BucketSet.empty;
		return {
			from: this.#options.self,
			granted: granted.toHex(),
			state: this.#getState(nowMs),
		};
	}

	/**
	 * Takes the answer to a heartbeat.
	 *
	 * @param round - The round that the heartbeat was of.
	 * @param reply - The answer.
	 */
	takeReply(round: Round, reply: HeartbeatReply): void {
		const nowMs = this.#options.clock.monotonicMs();
		const {from, state, granted} = reply;
		if (!this.membership.addSighting(from, state, nowMs)) {
			return;
		}

		const middleMs = (round.sentAtMs + nowMs) / 2;
		this.#clockReports.set(from.host, {
			offsetMs: state.clockMs - middleMs,
			isOfFleet: state.phase !== 'starting',
		});
		const {sequence, sentAtMs} = round;
		const buckets = BucketSet.fromHex(granted);
		this.#addGrants(from.host, {sequence, sentAtMs, buckets}, nowMs);
	}

	/**
	 * Gets where a key is to be run: where it is held, else its home.
	 *
	 * @param key - The key.
	 * @returns This host, a peer, or nowhere.
	 */
	getRoute(key: IdempotencyKey): Route {
		const nowMs = this.#options.clock.monotonicMs();
		const bucket = getBucket(key);
		if (this.#holder.getTenure(bucket, nowMs) !== undefined) {
			return {kind: 'here'};
		}

		const holder = this.membership
			.getPeers(nowMs)
			.find(({state}) => BucketSet.fromHex(state.held).has(bucket));
		const home = getHome(bucket, this.#getMembers(nowMs));
		const peer =
			holder ??
			(home === undefined ? undefined : this.membership.getPeer(home, nowMs));
		if (peer !== undefined && home !== this.#options.self.host) {
			return {kind: 'peer', peer};
		}

		return home === this.#options.self.host
			? {kind: 'here'}
			: {kind: 'nowhere'};
	}

	/**
	 * Makes a key for a request that came without one, of a bucket held here.
	 *
	 * @returns The key; undefined if this host holds no bucket.
	 */
	makeKey(): IdempotencyKey | undefined {
		const nowMs = this.#options.clock.monotonicMs();
		const held = this.#holder.getHeld(nowMs).getBuckets();
		const bucket = held[Math.floor(randomUnit() * held.length)];
		return bucket === undefined || this.#fleetClock === undefined
			? undefined
			: this.#keyMaker.make(this.#fleetClock.getTimeMs(nowMs), bucket);
	}

	/**
	 * Decides on a key; see the keeper.
	 *
	 * @param key - The key.
	 * @param fingerprint - The digest of its request.
	 * @param isNew - Whether this host has just made the key.
	 * @returns What is to be done; undefined before this host serves.
	 */
	beginKey(
		key: IdempotencyKey,
		fingerprint: string,
		isNew: boolean,
	): KeyDecision | undefined {
		const nowMs = this.#options.clock.monotonicMs();
		return this.#keeper?.begin({key, fingerprint, isNew}, nowMs);
	}

	/**
	 * Records how a run ended.
	 *
	 * @param key - The key.
	 * @param end - The end.
	 */
	finishKey(key: IdempotencyKey, end: RunEnd): void {
		this.#keeper?.finish(key, end);
	}

	#serveIfPossible(nowMs: number): void {
		if (this.#phase !== 'starting' || this.#grantor.isSilent(nowMs)) {
			return;
		}

		const fleetClock = this.#makeFleetClock(nowMs);
		const {policy} = this.#options;
		this.#fleetClock = fleetClock;
		this.#keeper = new KeyKeeper({
			policy,
			holder: this.#holder,
			records: this.#records,
			fleetClock,
		});
		this.#phase = 'serving';
		this.#servingSinceMs = nowMs;
	}

	#makeFleetClock(nowMs: number): FleetClock {
		const reports = [...this.#clockReports.values()];
		const ofFleet = reports.filter(({isOfFleet}) => isOfFleet);
		const ownMs = this.#options.clock.now().getTime() - nowMs;
		const offsetsMs = (ofFleet.length > 0 ? ofFleet : reports).map(
			({offsetMs}) => offsetMs,
		);
		return FleetClock.fromOffsets(
			ofFleet.length > 0 ? offsetsMs : [...offsetsMs, ownMs],
		);
	}

	#getWanted(nowMs: number): BucketSet {
		const {host} = this.#options.self;
		const members = this.#getMembers(nowMs);
		for (const change of this.membership.takeChanges(members)) {
			this.#options.audit({
				kind: change.kind === 'joined' ? 'member-joined' : 'member-left',
				subject: change.host,
				cause: 'the published list and the heartbeats',
			});
		}

		return new BucketSet(
			allBuckets.filter((bucket) => getHome(bucket, members) === host),
		);
	}

	#getMembers(nowMs: number): HostId[] {
		return this.membership.getMembers(nowMs, this.#phase === 'serving');
	}

	#getState(nowMs: number): PeerState {
		const wallMs = this.#options.clock.now().getTime();
		return {
			clockMs: this.#fleetClock?.getTimeMs(nowMs) ?? wallMs,
			phase: this.#phase,
			bundleVersion: this.#options.getBundleVersion(),
			held: this.#holder.getHeld(nowMs).toHex(),
		};
	}

	#addGrants(
		grantor: HostId,
		grants: {sequence: number; sentAtMs: number; buckets: BucketSet},
		nowMs: number,
	): void {
		this.#holder.addGrants({grantor, ...grants}, nowMs);
		const held = this.#holder.getHeld(nowMs);
		this.#auditTenures('tenure-won', held, this.#held);
		this.#auditTenures('tenure-lost', this.#held, held);
		this.#held = held;
	}

	#auditTenures(
		kind: 'tenure-won' | 'tenure-lost',
		of: BucketSet,
		without: BucketSet,
	): void {
		const changed = new BucketSet(
			of.getBuckets().filter((bucket: Bucket) => !without.has(bucket)),
		);
		if (changed.size > 0) {
			this.#options.audit({
				kind,
				subject: `${changed.size} buckets`,
				cause: 'the grants of the published hosts',
				current: changed.toHex(),
			});
		}
	}
}
