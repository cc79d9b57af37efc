/** How one send to a target ended. */

import type {LoadReport} from './load-report.js';

/**
 * How one send ended. `not-run`: the target refused truthfully.
 * `unreachable`: nothing was sent. `failed`: it may have run.
 * `cancelled`: this host gave it up.
 */
export type OutcomeKind =
	'served' | 'not-run' | 'unreachable' | 'failed' | 'cancelled';

/** The end of one send. */
export type Outcome = {
	readonly kind: OutcomeKind;
	/** From the send to the head of the answer, in milliseconds. */
	readonly latencyMs: number;
	/** What the target reported with its answer. */
	readonly report?: LoadReport;
};
