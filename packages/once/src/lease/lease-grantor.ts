/** Grants leases of buckets, each to one host at a time. */

import type {IncarnationId} from '@bilberryscale/core';
import {BucketSet} from './bucket-set.js';
import type {Bucket} from './bucket.js';
import type {LeasePolicy} from './lease-policy.js';

/** A request for the leases of buckets. */
export type Claim = {
	readonly claimant: IncarnationId;
	/** Increases with each claim of the claimant. */
	readonly sequence: number;
	/** All buckets that the claimant wants to hold; it releases all others. */
	readonly wanted: BucketSet;
};

/** The options of a `LeaseGrantor`. */
export type LeaseGrantorOptions = {
	readonly policy: LeasePolicy;
	/** When this incarnation started, in monotonic milliseconds. */
	readonly startedAtMs: number;
};

type GrantedLease = {
	readonly claimant: IncarnationId;
	readonly expiresAtMs: number;
};

type LastClaim = {
	readonly sequence: number;
	readonly receivedAtMs: number;
};

/**
 * Grants leases for one incarnation of this host. The leases are kept in memory
 * only, so a new incarnation does not know those that a former one granted.
 */
export class LeaseGrantor {
	readonly #options: LeaseGrantorOptions;
	readonly #grantedLeases = new Map<Bucket, GrantedLease>();
	readonly #lastClaims = new Map<IncarnationId, LastClaim>();

	/**
	 * @param options - The lease policy and when this incarnation started.
	 */
	constructor(options: LeaseGrantorOptions) {
		this.#options = options;
	}

	/**
	 * Grants the buckets that are free or already leased to the claimant.
	 *
	 * @remarks A claim that arrives after a later claim of the same claimant is
	 * ignored: it could release a bucket that was granted for the later one.
	 * @param claim - The claim.
	 * @param nowMs - The current monotonic time, in milliseconds.
	 * @returns The buckets leased for one lease duration from `nowMs`.
	 */
	grant(claim: Claim, nowMs: number): BucketSet {
		const lastClaim = this.#lastClaims.get(claim.claimant);
		if (lastClaim !== undefined && claim.sequence <= lastClaim.sequence) {
			return BucketSet.empty;
		}

		this.#lastClaims.set(claim.claimant, {
			sequence: claim.sequence,
			receivedAtMs: nowMs,
		});
		this.#removeExpired(nowMs);
		this.#release(claim);
		if (this.isInGracePeriod(nowMs)) {
			return BucketSet.empty;
		}

		const granted = claim.wanted
			.getBuckets()
			.filter((bucket) => this.#isFree(bucket, claim.claimant));
		const expiresAtMs = nowMs + this.#options.policy.leaseMs;
		for (const bucket of granted) {
			this.#grantedLeases.set(bucket, {claimant: claim.claimant, expiresAtMs});
		}

		return new BucketSet(granted);
	}

	/**
	 * Checks whether leases granted by a former incarnation may still be valid.
	 *
	 * @param nowMs - The current monotonic time, in milliseconds.
	 * @returns Whether this is the grace period after the start, in which nothing
	 * is granted.
	 */
	isInGracePeriod(nowMs: number): boolean {
		const {policy, startedAtMs} = this.#options;
		return nowMs < startedAtMs + policy.leaseMs + policy.driftMarginMs;
	}

	#isFree(bucket: Bucket, claimant: IncarnationId): boolean {
		const lease = this.#grantedLeases.get(bucket);
		return lease === undefined || lease.claimant === claimant;
	}

	#release({claimant, wanted}: Claim): void {
		for (const [bucket, lease] of this.#grantedLeases) {
			if (lease.claimant === claimant && !wanted.has(bucket)) {
				this.#grantedLeases.delete(bucket);
			}
		}
	}

	#removeExpired(nowMs: number): void {
		const {leaseMs} = this.#options.policy;
		for (const [bucket, {expiresAtMs}] of this.#grantedLeases) {
			if (expiresAtMs <= nowMs) {
				this.#grantedLeases.delete(bucket);
			}
		}

		for (const [claimant, {receivedAtMs}] of this.#lastClaims) {
			if (receivedAtMs + 2 * leaseMs < nowMs) {
				this.#lastClaims.delete(claimant);
			}
		}
	}
}
