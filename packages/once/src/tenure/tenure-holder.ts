/** Knows which buckets this host holds by the grants of a quorum. */

import type {HostId} from '@bilberryscale/core';
import {BucketSet} from './bucket-set.js';
import {bucketCount, allBuckets, type Bucket} from './bucket.js';
import {getQuorum} from './quorum.js';
import type {TenurePolicy} from './tenure-policy.js';

/** What a grantor answered to a claim. */
export type Grants = {
	readonly grantor: HostId;
	/** The sequence number of the claim. */
	readonly sequence: number;
	/** When the claim was sent, on this host's monotonic clock. */
	readonly sentAtMs: number;
	readonly buckets: BucketSet;
};

/** The right to begin the keys of a bucket. */
export type Tenure = {
	/** When it began, on the monotonic clock; it had no gap since. */
	readonly sinceMs: number;
};

/** The tenures of one incarnation. */
export class TenureHolder {
	readonly #policy: TenurePolicy;
	readonly #grants = new Map<HostId, Float64Array>();
	readonly #tenures = new Map<Bucket, Tenure>();
	/** The last claim before which each bucket was given up. */
	readonly #givenUpAt = new Map<Bucket, number>();
	#published: readonly HostId[] = [];

	/**
	 * @param policy - The policy of the fleet.
	 */
	constructor(policy: TenurePolicy) {
		this.#policy = policy;
	}

	/**
	 * Takes a published list; only its hosts count as grantors.
	 *
	 * @param published - The hosts of the list.
	 * @param nowMs - The monotonic time.
	 */
	setPublished(published: readonly HostId[], nowMs: number): void {
		this.#endLapsed(nowMs);
		this.#published = published;
		this.#endLapsed(nowMs);
	}

	/**
	 * Counts grants, from when the claim was sent.
	 *
	 * @param grants - What a grantor answered.
	 * @param nowMs - The monotonic time.
	 */
	addGrants(grants: Grants, nowMs: number): void {
		this.#endLapsed(nowMs);
		const {leaseMs, driftMarginMs} = this.#policy;
		const untilMs = grants.sentAtMs + leaseMs - driftMarginMs;
		const untils = this.#getUntils(grants.grantor);
		for (const bucket of grants.buckets.getBuckets()) {
			if (grants.sequence > (this.#givenUpAt.get(bucket) ?? 0)) {
				untils[bucket] = Math.max(untils[bucket]!, untilMs);
				this.#beginIfHeld(bucket, nowMs);
			}
		}
	}

	/**
	 * Gives buckets up before the claim that tells the grantors so.
	 *
	 * @param buckets - The buckets.
	 * @param sequence - The last claim that was sent.
	 */
	giveUp(buckets: BucketSet, sequence: number): void {
		for (const bucket of buckets.getBuckets()) {
			this.#tenures.delete(bucket);
			this.#givenUpAt.set(bucket, sequence);
			for (const untils of this.#grants.values()) {
				untils[bucket] = Number.NEGATIVE_INFINITY;
			}
		}
	}

	/**
	 * Gets the tenure of a bucket.
	 *
	 * @param bucket - The bucket.
	 * @param nowMs - The monotonic time.
	 * @returns The tenure, if this host holds the bucket.
	 */
	getTenure(bucket: Bucket, nowMs: number): Tenure | undefined {
		return nowMs < this.#getHeldUntilMs(bucket)
			? this.#tenures.get(bucket)
			: undefined;
	}

	/**
	 * Gets all buckets that this host holds.
	 *
	 * @param nowMs - The monotonic time.
	 * @returns The buckets.
	 */
	getHeld(nowMs: number): BucketSet {
		return new BucketSet(
			allBuckets.filter(
				(bucket) => this.getTenure(bucket, nowMs) !== undefined,
			),
		);
	}

	#beginIfHeld(bucket: Bucket, nowMs: number): void {
		if (!this.#tenures.has(bucket) && nowMs < this.#getHeldUntilMs(bucket)) {
			this.#tenures.set(bucket, {sinceMs: nowMs});
		}
	}

	#endLapsed(nowMs: number): void {
		for (const bucket of this.#tenures.keys()) {
			if (nowMs >= this.#getHeldUntilMs(bucket)) {
				this.#tenures.delete(bucket);
			}
		}
	}

	#getHeldUntilMs(bucket: Bucket): number {
		const quorum = getQuorum(
			this.#published.length,
			this.#policy.listDifference,
		);
		const untils = this.#published
			.map((host) => this.#grants.get(host)?.[bucket])
			.filter((untilMs) => untilMs !== undefined)
			.toSorted((a, b) => b - a);
		return untils[quorum - 1] ?? Number.NEGATIVE_INFINITY;
	}

	#getUntils(grantor: HostId): Float64Array {
		const known = this.#grants.get(grantor);
		if (known !== undefined) {
			return known;
		}

		const untils = new Float64Array(bucketCount).fill(Number.NEGATIVE_INFINITY);
		this.#grants.set(grantor, untils);
		return untils;
	}
}
