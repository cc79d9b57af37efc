/** The state of this host as a member of the fleet: membership, leases and keys. It does no I/O. */

import {
	type AuditSink,
	type Clock,
	type HostId,
	type IdempotencyKey,
} from '@bilberryscale/core';
import {
	BucketSet,
	FleetClock,
	LeaseGrantor,
	IdempotencyGuard,
	KeyGenerator,
	KeyRecordStore,
	LeaseHolder,
	allBuckets,
	getBucket,
	selectKeyOwner,
	defaultRecordLimits,
	type Bucket,
	type KeyDecision,
	type RunOutcome,
	type LeasePolicy,
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
import {secureRandom} from './secure-random.js';

/** The dependencies of a `FleetView`. */
export type FleetViewOptions = {
	readonly self: PeerIdentity;
	readonly policy: LeasePolicy;
	readonly clock: Clock;
	readonly audit: AuditSink;
	/** How long a peer stays a member without a heartbeat, in milliseconds. */
	readonly peerTimeoutMs: number;
	/** Whether this host runs without peers; its grants then start at once. */
	readonly isStandalone: boolean;
	readonly getBundleVersion: () => number;
};

/** One round of heartbeats: every published host receives the same claim to buckets. */
export type HeartbeatRound = {
	readonly sequence: number;
	readonly sentAtMs: number;
	readonly wanted: BucketSet;
	readonly state: PeerState;
};

/** Which host runs the keys of a bucket. */
export type KeyRoute =
	| {readonly kind: 'here'}
	| {readonly kind: 'peer'; readonly peer: Peer}
	| {readonly kind: 'nowhere'};

type ClockReport = {
	/** The peer's time minus this host's monotonic time, in milliseconds. */
	readonly offsetMs: number;
	/** Whether the peer reported fleet time; a starting peer reports its wall clock. */
	readonly isFleetTime: boolean;
};

/** The fleet state of one incarnation of this host. */
export class FleetView {
	readonly membership: Membership;
	readonly #options: FleetViewOptions;
	readonly #grantor: LeaseGrantor;
	readonly #leaseHolder: LeaseHolder;
	readonly #records = new KeyRecordStore(defaultRecordLimits);
	readonly #keyGenerator = new KeyGenerator(secureRandom);
	readonly #clockReports = new Map<HostId, ClockReport>();
	#phase: PeerState['phase'] = 'starting';
	#fleetClock: FleetClock | undefined;
	#idempotencyGuard: IdempotencyGuard | undefined;
	#sequence = 0;
	#wantedBuckets = BucketSet.empty;
	#auditedBuckets = BucketSet.empty;
	#servingSinceMs = Number.POSITIVE_INFINITY;

	/**
	 * @param options - The identity of this host, the lease policy and the clock.
	 */
	constructor(options: FleetViewOptions) {
		this.#options = options;
		const {self, policy, peerTimeoutMs, clock, isStandalone} = options;
		this.membership = new Membership({self, maxSilenceMs: peerTimeoutMs});
		this.#leaseHolder = new LeaseHolder(policy);
		this.#grantor = new LeaseGrantor({
			policy,
			startedAtMs: isStandalone
				? Number.NEGATIVE_INFINITY
				: clock.monotonicMs(),
		});
	}

	/** Gets the number of members and the index of this host among them; undefined while it is no member. */
	get position(): {readonly size: number; readonly rank: number} | undefined {
		const members = this.#getMembers(this.#options.clock.monotonicMs());
		const rank = members.indexOf(this.#options.self.host);
		return rank === -1 ? undefined : {size: members.length, rank};
	}

	/** Gets the buckets for which this host holds a lease. */
	get heldBuckets(): BucketSet {
		return this.#leaseHolder.getHeldBuckets(this.#options.clock.monotonicMs());
	}

	/**
	 * Returns whether this host has been serving for long enough.
	 *
	 * @param settleMs - How long it must have been serving, in milliseconds.
	 * @returns True if it has.
	 */
	hasSettled(settleMs: number): boolean {
		const nowMs = this.#options.clock.monotonicMs();
		return nowMs >= this.#servingSinceMs + settleMs;
	}

	/**
	 * Replaces the list of published hosts.
	 *
	 * @param published - The hosts of the platform's list.
	 */
	setPublishedHosts(published: readonly PublishedHost[]): void {
		this.membership.setPublishedHosts(published);
		this.#leaseHolder.setPublishedHosts(
			published.map(({host}) => host),
			this.#options.clock.monotonicMs(),
		);
	}

	/** Leaves the fleet: the next round gives up every bucket. */
	leave(): void {
		this.#phase = 'leaving';
	}

	/**
	 * Begins a heartbeat round: updates the wanted buckets and gives this host its own grant.
	 *
	 * @returns The claim and the state to send to every published host.
	 */
	beginRound(): HeartbeatRound {
		const nowMs = this.#options.clock.monotonicMs();
		this.#startServingIfReady(nowMs);
		const wanted = this.#updateWantedBuckets(nowMs);
		const dropped = this.#wantedBuckets
			.getBuckets()
			.filter((bucket) => !wanted.has(bucket));
		this.#leaseHolder.release(new BucketSet(dropped), this.#sequence);
		this.#wantedBuckets = wanted;
		this.#sequence++;
		const {host, incarnation} = this.#options.self;
		const sequence = this.#sequence;
		const claim = {claimant: incarnation, sequence, wanted};
		const buckets = this.#grantor.grant(claim, nowMs);
		this.#addGrants(host, {sequence, sentAtMs: nowMs, buckets}, nowMs);
		return {sequence, sentAtMs: nowMs, wanted, state: this.#getState(nowMs)};
	}

	/**
	 * Handles a peer's heartbeat and grants the buckets it claims, if they are free.
	 *
	 * @param message - The heartbeat.
	 * @returns The grants and the state of this host.
	 */
	handleHeartbeat(message: Heartbeat): HeartbeatReply {
		const nowMs = this.#options.clock.monotonicMs();
		const isCurrent = this.membership.recordPeerState(
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
	 * Handles the reply to a heartbeat: counts its grants and records the peer's clock.
	 *
	 * @param round - The round in which the heartbeat was sent.
	 * @param reply - The reply.
	 */
	handleReply(round: HeartbeatRound, reply: HeartbeatReply): void {
		const nowMs = this.#options.clock.monotonicMs();
		const {from, state, granted} = reply;
		if (!this.membership.recordPeerState(from, state, nowMs)) {
			return;
		}

		const midpointMs = (round.sentAtMs + nowMs) / 2;
		this.#clockReports.set(from.host, {
			offsetMs: state.clockMs - midpointMs,
			isFleetTime: state.phase !== 'starting',
		});
		const {sequence, sentAtMs} = round;
		const buckets = BucketSet.fromHex(granted);
		this.#addGrants(from.host, {sequence, sentAtMs, buckets}, nowMs);
	}

	/**
	 * Gets the host that runs a key: this host if it holds the lease or is the key owner,
	 * otherwise the peer that holds the lease, otherwise the key owner.
	 *
	 * @param key - The key.
	 * @returns This host, a peer, or nowhere if no such host is known.
	 */
	getRoute(key: IdempotencyKey): KeyRoute {
		const nowMs = this.#options.clock.monotonicMs();
		const bucket = getBucket(key);
		if (this.#leaseHolder.getLease(bucket, nowMs) !== undefined) {
			return {kind: 'here'};
		}

		const holder = this.membership
			.getPeers(nowMs)
			.find(({state}) => BucketSet.fromHex(state.held).has(bucket));
		const ownerHost = selectKeyOwner(bucket, this.#getMembers(nowMs));
		const peer =
			holder ??
			(ownerHost === undefined
				? undefined
				: this.membership.getPeer(ownerHost, nowMs));
		if (peer !== undefined && ownerHost !== this.#options.self.host) {
			return {kind: 'peer', peer};
		}

		return ownerHost === this.#options.self.host
			? {kind: 'here'}
			: {kind: 'nowhere'};
	}

	/**
	 * Generates a key for a request without one, in a bucket that this host holds.
	 *
	 * @returns The key; undefined if this host holds no bucket or does not serve yet.
	 */
	makeKey(): IdempotencyKey | undefined {
		const nowMs = this.#options.clock.monotonicMs();
		const held = this.#leaseHolder.getHeldBuckets(nowMs).getBuckets();
		const bucket = held[Math.floor(secureRandom() * held.length)];
		return bucket === undefined || this.#fleetClock === undefined
			? undefined
			: this.#keyGenerator.generate(this.#fleetClock.getTimeMs(nowMs), bucket);
	}

	/**
	 * Decides whether a request with a key runs, gets a recorded answer or is refused.
	 *
	 * @param key - The key.
	 * @param fingerprint - The digest of the request.
	 * @param isNew - Whether this host has just generated the key.
	 * @returns The decision; undefined before this host serves.
	 */
	beginKey(
		key: IdempotencyKey,
		fingerprint: string,
		isNew: boolean,
	): KeyDecision | undefined {
		const nowMs = this.#options.clock.monotonicMs();
		return this.#idempotencyGuard?.begin({key, fingerprint, isNew}, nowMs);
	}

	/**
	 * Records how a run ended.
	 *
	 * @param key - The key.
	 * @param outcome - The outcome of the run.
	 */
	finishKey(key: IdempotencyKey, outcome: RunOutcome): void {
		this.#idempotencyGuard?.finish(key, outcome);
	}

	#startServingIfReady(nowMs: number): void {
		if (this.#phase !== 'starting' || this.#grantor.isInGracePeriod(nowMs)) {
			return;
		}

		const fleetClock = this.#makeFleetClock(nowMs);
		const {policy} = this.#options;
		this.#fleetClock = fleetClock;
		this.#idempotencyGuard = new IdempotencyGuard({
			policy,
			holder: this.#leaseHolder,
			records: this.#records,
			fleetClock,
		});
		this.#phase = 'serving';
		this.#servingSinceMs = nowMs;
	}

	#makeFleetClock(nowMs: number): FleetClock {
		const reports = [...this.#clockReports.values()];
		const fleetReports = reports.filter(({isFleetTime}) => isFleetTime);
		const ownOffsetMs = this.#options.clock.now().getTime() - nowMs;
		const offsetsMs = (fleetReports.length > 0 ? fleetReports : reports).map(
			({offsetMs}) => offsetMs,
		);
		return FleetClock.fromOffsets(
			fleetReports.length > 0 ? offsetsMs : [...offsetsMs, ownOffsetMs],
		);
	}

	#updateWantedBuckets(nowMs: number): BucketSet {
		const {host} = this.#options.self;
		const members = this.#getMembers(nowMs);
		for (const change of this.membership.updateMembers(members)) {
			this.#options.audit({
				kind: change.kind === 'joined' ? 'member-joined' : 'member-left',
				subject: change.host,
				cause: 'the published list and the heartbeats',
			});
		}

		return new BucketSet(
			allBuckets.filter((bucket) => selectKeyOwner(bucket, members) === host),
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
			held: this.#leaseHolder.getHeldBuckets(nowMs).toHex(),
		};
	}

	#addGrants(
		grantor: HostId,
		grants: {sequence: number; sentAtMs: number; buckets: BucketSet},
		nowMs: number,
	): void {
		this.#leaseHolder.addGrants({grantor, ...grants}, nowMs);
		const held = this.#leaseHolder.getHeldBuckets(nowMs);
		this.#auditLeaseChanges('tenure-won', held, this.#auditedBuckets);
		this.#auditLeaseChanges('tenure-lost', this.#auditedBuckets, held);
		this.#auditedBuckets = held;
	}

	#auditLeaseChanges(
		kind: 'tenure-won' | 'tenure-lost',
		buckets: BucketSet,
		excluded: BucketSet,
	): void {
		const changed = new BucketSet(
			buckets.getBuckets().filter((bucket: Bucket) => !excluded.has(bucket)),
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
