/** Estimates how long a request would take at a target. */

/** What counts when targets are compared. */
export type TargetView = {
	/** The requests that it runs or holds. */
	readonly load: number;
	readonly slots: number;
	/** How many times longer than usual work takes there now. */
	readonly slowness: number;
	readonly isHealthy: boolean;
	readonly isCold: boolean;
	/** The share of requests that it fails, from 0 to 1. */
	readonly failureShare: number;
	/** Whether it stands in the data centre of this host. */
	readonly isNear: boolean;
};

/** What a request asks of a target. */
export type WorkView = {
	/** How long such work usually takes, in milliseconds. */
	readonly workMs: number;
	/** How many times longer work takes that begins on the last free slot. */
	readonly lastSlotFactor: number;
	readonly isIdempotent: boolean;
};

/** A cold target works at about half its speed, which its slowness tells as well. */
const coldFactor = 2;
/** Bytes between data centres cost; a tie goes to the near target. */
const farMs = 12;
/** Part of the work that each request already there adds, to spread them. */
const spreadShare = 0.04;
/** A target that calls itself ill is taken only if the others are far worse. */
const illFactor = 4;
const failureFactors = {idempotent: 3, once: 8};

/**
 * Gets the time that a request is expected to take at a target.
 *
 * @param target - The target.
 * @param work - The request.
 * @returns The time in milliseconds, with doubts about the target added as time.
 */
export function getCostMs(target: TargetView, work: WorkView): number {
	const failureFactor = work.isIdempotent
		? failureFactors.idempotent
		: failureFactors.once;
	const doubt =
		(target.isHealthy ? 1 : illFactor) *
		(1 + failureFactor * target.failureShare);
	const spread = 1 + spreadShare * target.load;
	return (
		getExpectedMs(target, work) * doubt * spread + (target.isNear ? 0 : farMs)
	);
}

/**
 * Gets the time until a target has finished a request, if it does not fail.
 *
 * @param target - The target.
 * @param work - The request.
 * @returns The time in milliseconds, the wait for a slot included.
 */
export function getExpectedMs(target: TargetView, work: WorkView): number {
	const {load, slots, isCold} = target;
	const slowness = Math.max(target.slowness, isCold ? coldFactor : 0);
	const beginsFull = load + 1 >= slots && slots > 1;
	const serviceMs =
		work.workMs * slowness * (beginsFull ? work.lastSlotFactor : 1);
	const ahead = Math.max(0, load + 1 - slots);
	return serviceMs + (ahead * serviceMs) / slots;
}
