/** The durations and limits that govern leases. */

/** The lease policy; it must be the same on all hosts of a fleet. */
export type LeasePolicy = {
	/** How long a granted lease is valid, in milliseconds. */
	readonly leaseMs: number;
	/** How much earlier a holder lets its lease end, to allow for clock drift. */
	readonly driftMarginMs: number;
	/** The maximum difference between the fleet times of two hosts. */
	readonly maxClockErrorMs: number;
	/** How far ahead of the fleet time the timestamp of a key may be. */
	readonly maxKeyLeadMs: number;
	/** How old an accepted key may be. */
	readonly maxKeyAgeMs: number;
	/** How many hosts of a published list the copy of another host may lack. */
	readonly maxListDifference: number;
};

/** The default lease policy of an entry host. */
export const defaultLeasePolicy: LeasePolicy = {
	leaseMs: 6000,
	driftMarginMs: 200,
	maxClockErrorMs: 500,
	maxKeyLeadMs: 500,
	maxKeyAgeMs: 600_000,
	maxListDifference: 4,
};
