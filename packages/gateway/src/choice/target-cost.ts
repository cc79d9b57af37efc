/** Estimates the latency of a request at a target and the cost by which targets are ranked. */

import type {TargetState} from '../targets/target-state.js';

/** The properties of a target that enter its cost. */
export type TargetCondition = {
	/** The number of requests it runs or queues. */
	readonly load: number;
	readonly slots: number;
	/** Ratio of its current service times to the typical ones. */
	readonly slowdownFactor: number;
	readonly isHealthy: boolean;
	readonly isCold: boolean;
	/** The share of requests that fail there, from 0 to 1. */
	readonly failureRate: number;
	/** Whether it is in the data centre of this host. */
	readonly isNear: boolean;
};

/** The properties of a request that enter the cost. */
export type RequestProfile = {
	/** The typical service time of such requests, in milliseconds. */
	readonly serviceTimeMs: number;
	/** Factor by which the service time grows if the request takes the last free slot. */
	readonly lastSlotFactor: number;
	readonly isIdempotent: boolean;
};

/** A target that may take a request, and what it costs there. */
export type TargetCandidate = {
	readonly state: TargetState;
	readonly costMs: number;
	/** The expected latency, in milliseconds. */
	readonly expectedMs: number;
};

/** A cold target runs at about half speed; its reported slowdown includes this, so the two are not multiplied. */
const coldSlowdownFactor = 2;
/** Traffic between data centres is costly, so a near target wins a tie; in milliseconds. */
export const remotePenaltyMs = 12;
/** Relative cost that each request already at the target adds, to spread requests. */
const loadPenaltyFactor = 0.04;
/** A target that reports itself unhealthy is picked only if all others cost far more. */
const unhealthyFactor = 4;
/** Relative cost that a failure rate of 1 adds. */
const failurePenaltyFactors = {idempotent: 3, nonIdempotent: 8};

/**
 * Gets the cost of sending a request to a target.
 *
 * @param target - The target.
 * @param request - The request.
 * @returns The expected latency in milliseconds with penalties for failures, load and distance.
 */
export function getCostMs(
	target: TargetCondition,
	request: RequestProfile,
): number {
	const failurePenaltyFactor = request.isIdempotent
		? failurePenaltyFactors.idempotent
		: failurePenaltyFactors.nonIdempotent;
	const reliabilityPenalty =
		(target.isHealthy ? 1 : unhealthyFactor) *
		(1 + failurePenaltyFactor * target.failureRate);
	const loadPenalty = 1 + loadPenaltyFactor * target.load;
	return (
		getExpectedLatencyMs(target, request) * reliabilityPenalty * loadPenalty +
		(target.isNear ? 0 : remotePenaltyMs)
	);
}

/**
 * Gets the expected latency of a request at a target, provided that it does not fail.
 *
 * @param target - The target.
 * @param request - The request.
 * @returns The latency in milliseconds, including the wait for a slot.
 */
export function getExpectedLatencyMs(
	target: TargetCondition,
	request: RequestProfile,
): number {
	const {load, slots, isCold} = target;
	const slowdownFactor = Math.max(
		target.slowdownFactor,
		isCold ? coldSlowdownFactor : 0,
	);
	const takesLastSlot = load + 1 >= slots && slots > 1;
	const serviceMs =
		request.serviceTimeMs *
		slowdownFactor *
		(takesLastSlot ? request.lastSlotFactor : 1);
	const queuedCount = Math.max(0, load + 1 - slots);
	return serviceMs + (queuedCount * serviceMs) / slots;
}
