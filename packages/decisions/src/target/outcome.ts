/** The outcome of one attempt at a target. */

import type {LoadReport} from './load-report.js';

/**
 * How an attempt ended.
 *
 * `served`: the target answered without a fault.
 * `not-run`: the target refused the request without running it.
 * `unreachable`: nothing was sent.
 * `failed`: the target answered with a fault or the attempt broke, so the
 * request may have run.
 * `cancelled`: this host aborted the attempt.
 */
export type OutcomeKind =
	'served' | 'not-run' | 'unreachable' | 'failed' | 'cancelled';

/** The outcome of an attempt with its latency and the target's load report. */
export type Outcome = {
	readonly kind: OutcomeKind;
	/** The time from sending until the head of the answer has arrived. */
	readonly latencyMs: number;
	/** The load report that came with the answer, if any. */
	readonly report?: LoadReport;
};
