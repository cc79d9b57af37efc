/** A request that needs a target. */

import type {ServiceName, TargetId} from '@bilberryscale/core';

/** A request that needs a target. */
export type PickRequest = {
	readonly service: ServiceName;
	readonly isIdempotent: boolean;
	/** How long such work usually takes, in milliseconds. */
	readonly workMs: number;
	/** The targets that the request was sent to already. */
	readonly tried: ReadonlySet<TargetId>;
	/** The only targets that may still get it; undefined allows all that were not tried. */
	readonly among: ReadonlySet<TargetId> | undefined;
	/** When the request came, on the monotonic clock. */
	readonly receivedAtMs: number;
	/** The latency that its caller hopes for, in milliseconds. */
	readonly targetLatencyMs: number;
	/** When the request must have its answer, on the monotonic clock. */
	readonly deadlineMs: number;
	/** Aborts when the caller has gone. */
	readonly signal: AbortSignal;
};

/**
 * Tells whether a request may be sent to a target.
 *
 * @param request - The request.
 * @param id - The target.
 * @returns Whether it may.
 */
export function mayGet({tried, among}: PickRequest, id: TargetId): boolean {
	return among === undefined ? !tried.has(id) : among.has(id);
}
