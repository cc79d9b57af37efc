/** What a target says about its own load. */

import type {BootId} from '@bilberryscale/core';

/** A report that came with an answer or from a probe. */
export type LoadReport = {
	/** The requests that the target runs or holds. */
	readonly inFlight: number;
	/** Names the target's life; undefined if it does not say. */
	readonly bootId: BootId | undefined;
	/** When the report arrived, on the monotonic clock, in milliseconds. */
	readonly receivedAtMs: number;
};
