/** The load that a target reports about itself. */

import type {BootId} from '@bilberryscale/core';

/** A load report from an answer or from a probe. */
export type LoadReport = {
	/** The number of requests that the target runs or queues. */
	readonly inFlight: number;
	/** Identifies the target's incarnation; undefined if it was not reported. */
	readonly bootId: BootId | undefined;
	/** The monotonic time at which the report arrived. */
	readonly receivedAtMs: number;
};
