/** An error as a value, on its way to the caller. */

import type {ErrorKind} from './error-kind.js';
import type {RunState} from './run-state.js';

/** Why a request was not served, and whether it may have run. */
export type Failure = {
	readonly kind: ErrorKind;
	readonly ran: RunState;
	/** One sentence for people, with the value seen. */
	readonly detail: string;
	/** When coming back helps, in milliseconds; the table's value if absent. */
	readonly retryAfterMs?: number;
};

/**
 * Makes a failure of a request that did not run.
 *
 * @param kind - The error kind.
 * @param detail - One sentence with the value seen.
 * @param retryAfterMs - When coming back helps, in milliseconds.
 * @returns The failure.
 */
export function notRun(
	kind: ErrorKind,
	detail: string,
	retryAfterMs?: number,
): Failure {
	return makeFailure(kind, 'not-run', detail, retryAfterMs);
}

/**
 * Makes a failure of a request that may have run.
 *
 * @param kind - The error kind.
 * @param detail - One sentence with the value seen.
 * @param retryAfterMs - When coming back helps, in milliseconds.
 * @returns The failure.
 */
export function perhapsRun(
	kind: ErrorKind,
	detail: string,
	retryAfterMs?: number,
): Failure {
	return makeFailure(kind, 'unknown', detail, retryAfterMs);
}

function makeFailure(
	kind: ErrorKind,
	ran: RunState,
	detail: string,
	retryAfterMs: number | undefined,
): Failure {
	return retryAfterMs === undefined
		? {kind, ran, detail}
		: {kind, ran, detail, retryAfterMs};
}
