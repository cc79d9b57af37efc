/** The times and bounds that the rules of a tenure work with. */

/** All hosts of a fleet must have the same policy. */
export type TenurePolicy = {
	/** How long a grantor keeps its promise, in milliseconds. */
	readonly leaseMs: number;
	/** What a holder takes off its lease for clocks that drift, in milliseconds. */
	readonly driftMarginMs: number;
	/** The most that the fleet times of two hosts differ, in milliseconds. */
	readonly clockErrorMs: number;
	/** How far ahead of the fleet time a key may be dated, in milliseconds. */
	readonly futureMs: number;
	/** How old a key may be, in milliseconds. */
	readonly windowMs: number;
	/** How many hosts of a published list another host's copy may lack. */
	readonly listDifference: number;
};

/** The policy of entry hosts. */
export const usualPolicy: TenurePolicy = {
	leaseMs: 6000,
	driftMarginMs: 200,
	clockErrorMs: 500,
	futureMs: 500,
	windowMs: 600_000,
	listDifference: 4,
};
