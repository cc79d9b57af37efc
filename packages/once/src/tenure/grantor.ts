/** Promises buckets to other hosts, each to one at a time. */

import type {IncarnationId} from '@bilberryscale/core';
import {BucketSet} from './bucket-set.js';
import type {Bucket} from './bucket.js';
import type {TenurePolicy} from './tenure-policy.js';

/** Asks a grantor for buckets. */
export type Claim = {
	readonly claimant: IncarnationId;
	/** Rises with each claim of the claimant. */
	readonly sequence: number;
	/** Every bucket that the claimant wants to hold; it gives up all others. */
	readonly wanted: BucketSet;
};

/** What a grantor is made from. */
export type GrantorOptions = {
	readonly policy: TenurePolicy;
	/** When this incarnation started, on the monotonic clock. */
	readonly startedAtMs: number;
};

type Pledge = {
	readonly claimant: IncarnationId;
	readonly untilMs: number;
};

type Sighting = {
	readonly sequence: number;
	readonly atMs: number;
};

/** The promises of one incarnation; a new one has forgotten them. */
export class Grantor {
	readonly #options: GrantorOptions;
	readonly #pledges = new Map<Bucket, Pledge>();
	readonly #sightings = new Map<IncarnationId, Sighting>();

	/**
	 * @param options - The policy and the start of this incarnation.
	 */
	constructor(options: GrantorOptions) {
		this.#options = options;
	}

	/**
	 * Grants what is free or already the claimant's.
	 *
	 * @remarks A claim that was overtaken by a later one gets nothing: it could
	 * give up a bucket that the claimant holds by the later one.
	 * @param claim - What is wanted.
	 * @param nowMs - The monotonic time.
	 * @returns The buckets promised until `nowMs` and a lease.
	 */
	grant(claim: Claim, nowMs: number): BucketSet {
		const former = this.#sightings.get(claim.claimant);
		if (former !== undefined && claim.sequence <= former.sequence) {
			return BucketSet.empty;
		}

		this.#sightings.set(claim.claimant, {
			sequence: claim.sequence,
			atMs: nowMs,
		});
		this.#forget(nowMs);
		this.#giveUp(claim);
		if (this.isSilent(nowMs)) {
			return BucketSet.empty;
		}

		const granted = claim.wanted
			.getBuckets()
			.filter((bucket) => this.#isFree(bucket, claim.claimant));
		const untilMs = nowMs + this.#options.policy.leaseMs;
		for (const bucket of granted) {
			this.#pledges.set(bucket, {claimant: claim.claimant, untilMs});
		}

		return new BucketSet(granted);
	}

	/**
	 * Tells whether promises of a former incarnation may still stand.
	 *
	 * @param nowMs - The monotonic time.
	 * @returns True while nothing may be granted.
	 */
	isSilent(nowMs: number): boolean {
		const {policy, startedAtMs} = this.#options;
		return nowMs < startedAtMs + policy.leaseMs + policy.driftMarginMs;
	}

	#isFree(bucket: Bucket, claimant: IncarnationId): boolean {
		const pledge = this.#pledges.get(bucket);
		return pledge === undefined || pledge.claimant === claimant;
	}

	#giveUp({claimant, wanted}: Claim): void {
		for (const [bucket, pledge] of this.#pledges) {
			if (pledge.claimant === claimant && !wanted.has(bucket)) {
				this.#pledges.delete(bucket);
			}
		}
	}

	#forget(nowMs: number): void {
		const {leaseMs} = this.#options.policy;
		for (const [bucket, {untilMs}] of this.#pledges) {
			if (untilMs <= nowMs) {
				this.#pledges.delete(bucket);
			}
		}

		for (const [claimant, {atMs}] of this.#sightings) {
			if (atMs + 2 * leaseMs < nowMs) {
				this.#sightings.delete(claimant);
			}
		}
	}
}
