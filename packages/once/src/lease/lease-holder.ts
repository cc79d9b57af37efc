/** Tracks the leases that a quorum has granted to this host. */

import type {HostId} from '@bilberryscale/core';
import {BucketSet} from './bucket-set.js';
import {bucketCount, allBuckets, type Bucket} from './bucket.js';
import {getQuorum} from './quorum.js';
import type {LeasePolicy} from './lease-policy.js';

/** The answer of a grantor to a claim. */
export type Grants = {
	readonly grantor: HostId;
	/** The sequence number of the claim. */
	readonly sequence: number;
	/** When the claim was sent, in milliseconds of this host's monotonic clock. */
	readonly sentAtMs: number;
	readonly buckets: BucketSet;
};

/** The right to start runs of the keys in a bucket, granted by a quorum. */
export type Lease = {
	/** Since when it has been held without a gap, in monotonic milliseconds. */
	readonly heldSinceMs: number;
};

/** The leases of one incarnation of this host. */
export class LeaseHolder {
	readonly #policy: LeasePolicy;
	readonly #grantExpiries = new Map<HostId, Float64Array>();
	readonly #leases = new Map<Bucket, Lease>();
	/** The sequence number of the last claim before each bucket was released. */
	readonly #releasedAtSequence = new Map<Bucket, number>();
	#publishedHosts: readonly HostId[] = [];

	/**
	 * @param policy - The lease policy of the fleet.
	 */
	constructor(policy: LeasePolicy) {
		this.#policy = policy;
	}

	/**
	 * Replaces the list of published hosts; only these count as grantors.
	 *
	 * @param hosts - The hosts on the list.
	 * @param nowMs - The current monotonic time, in milliseconds.
	 */
	setPublishedHosts(hosts: readonly HostId[], nowMs: number): void {
		this.#removeExpired(nowMs);
		this.#publishedHosts = hosts;
		this.#removeExpired(nowMs);
	}

	/**
	 * Adds grants. Their leases count from when the claim was sent, so that they
	 * end here before they end on the grantor.
	 *
	 * @param grants - The answer of a grantor.
	 * @param nowMs - The current monotonic time, in milliseconds.
	 */
	addGrants(grants: Grants, nowMs: number): void {
		this.#removeExpired(nowMs);
		const {leaseMs, driftMarginMs} = this.#policy;
		const expiresAtMs = grants.sentAtMs + leaseMs - driftMarginMs;
		const expiries = this.#getExpiries(grants.grantor);
		for (const bucket of grants.buckets.getBuckets()) {
			if (grants.sequence > (this.#releasedAtSequence.get(bucket) ?? 0)) {
				expiries[bucket] = Math.max(expiries[bucket]!, expiresAtMs);
				this.#startLeaseIfHeld(bucket, nowMs);
			}
		}
	}

	/**
	 * Releases buckets. Must be called before the claim that releases them on the
	 * grantors is sent.
	 *
	 * @remarks Late answers to claims sent up to now are ignored for these buckets.
	 * @param buckets - The buckets.
	 * @param sequence - The sequence number of the last claim that was sent.
	 */
	release(buckets: BucketSet, sequence: number): void {
		for (const bucket of buckets.getBuckets()) {
			this.#leases.delete(bucket);
			this.#releasedAtSequence.set(bucket, sequence);
			for (const expiries of this.#grantExpiries.values()) {
				expiries[bucket] = Number.NEGATIVE_INFINITY;
			}
		}
	}

	/**
	 * Gets the lease of a bucket.
	 *
	 * @param bucket - The bucket.
	 * @param nowMs - The current monotonic time, in milliseconds.
	 * @returns The lease, or undefined if this host does not hold it.
	 */
	getLease(bucket: Bucket, nowMs: number): Lease | undefined {
		return nowMs < this.#getExpiryMs(bucket)
			? this.#leases.get(bucket)
			: undefined;
	}

	/**
	 * Gets all buckets whose lease this host holds.
	 *
	 * @param nowMs - The current monotonic time, in milliseconds.
	 * @returns The buckets.
	 */
	getHeldBuckets(nowMs: number): BucketSet {
		return new BucketSet(
			allBuckets.filter((bucket) => this.getLease(bucket, nowMs) !== undefined),
		);
	}

	#startLeaseIfHeld(bucket: Bucket, nowMs: number): void {
		if (!this.#leases.has(bucket) && nowMs < this.#getExpiryMs(bucket)) {
			this.#leases.set(bucket, {heldSinceMs: nowMs});
		}
	}

	#removeExpired(nowMs: number): void {
		for (const bucket of this.#leases.keys()) {
			if (nowMs >= this.#getExpiryMs(bucket)) {
				this.#leases.delete(bucket);
			}
		}
	}

	#getExpiryMs(bucket: Bucket): number {
		const quorum = getQuorum(
			this.#publishedHosts.length,
			this.#policy.maxListDifference,
		);
		const expiries = this.#publishedHosts
			.map((host) => this.#grantExpiries.get(host)?.[bucket])
			.filter((expiresAtMs) => expiresAtMs !== undefined)
			.toSorted((a, b) => b - a);
		return expiries[quorum - 1] ?? Number.NEGATIVE_INFINITY;
	}

	#getExpiries(grantor: HostId): Float64Array {
		const existing = this.#grantExpiries.get(grantor);
		if (existing !== undefined) {
			return existing;
		}

		const expiries = new Float64Array(bucketCount).fill(
			Number.NEGATIVE_INFINITY,
		);
		this.#grantExpiries.set(grantor, expiries);
		return expiries;
	}
}
