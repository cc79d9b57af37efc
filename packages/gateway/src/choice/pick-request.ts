/** The view of a request that target selection works with. */

import type {ServiceName, TargetId} from '@bilberryscale/core';
import type {ClientAccountName} from '../plan/client-account.js';

/** A request that needs a target. */
export type PickRequest = {
	readonly service: ServiceName;
	readonly isIdempotent: boolean;
	/** The typical service time of such requests, in milliseconds. */
	readonly serviceTimeMs: number;
	/** The targets that the request was already sent to. */
	readonly triedTargets: ReadonlySet<TargetId>;
	/** The only targets that it may be sent to; undefined allows all that were not tried. */
	readonly allowedTargets: ReadonlySet<TargetId> | undefined;
	/** Whether picking ends without a target as soon as this host turns out to reach none, as another host may. */
	readonly endsOutOfReach: boolean;
	/** When the request arrived, on the monotonic clock, in milliseconds. */
	readonly receivedAtMs: number;
	/** The latency target of the route, in milliseconds. */
	readonly targetLatencyMs: number;
	/** When the response must be complete, on the monotonic clock, in milliseconds. */
	readonly deadlineMs: number;
	/** The priority; 0 is the highest. */
	readonly priority: number;
	/** The client account; undefined if the plan has none or the route is public. */
	readonly account?: ClientAccountName;
	/** Whether the caller probably repeats a request that was refused. */
	readonly isReturning: boolean;
	/** Whether no response can be on time, because the caller was refused before and has waited since. */
	readonly isOverdue: boolean;
	/** Checks whether the request must not be sent any more, because its key was removed. */
	readonly isRevoked?: () => boolean;
	/**
	 * Checks whether the host shuts down before a target could answer.
	 *
	 * @param expectedMs - The expected latency at the target, in milliseconds; undefined for the typical one.
	 */
	readonly isTooLate?: (expectedMs: number | undefined) => boolean;
	/** Aborts when the caller disconnects. */
	readonly signal: AbortSignal;
};

/**
 * Checks whether a request may be sent to a target.
 *
 * @param request - The request.
 * @param id - The target.
 * @returns Whether the target is eligible.
 */
export function isEligible(
	{triedTargets, allowedTargets}: PickRequest,
	id: TargetId,
): boolean {
	return allowedTargets === undefined
		? !triedTargets.has(id)
		: allowedTargets.has(id);
}
