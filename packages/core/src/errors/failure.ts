/** The error value that is returned to a caller. */

import type {ErrorKind} from './error-kind.js';
import type {RunState} from './run-state.js';

/** The reason why a request failed, and whether it may have run. */
export type Failure = {
	readonly kind: ErrorKind;
	readonly ran: RunState;
	/** One human-readable sentence that includes the observed value. */
	readonly detail: string;
	/** The delay after which a retry may succeed, in milliseconds; defaults to the value in the response table. */
	readonly retryAfterMs?: number;
	/** Whether no retry can succeed before the caller's deadline, so that it is told no delay at all. */
	readonly isRetryFutile?: boolean;
};

/**
 * Creates the failure of a request that did not run.
 *
 * @param kind - The error kind.
 * @param detail - One sentence that includes the observed value.
 * @param retryAfterMs - The delay after which a retry may succeed, in milliseconds.
 * @returns The failure.
 */
export function notRunFailure(
	kind: ErrorKind,
	detail: string,
	retryAfterMs?: number,
): Failure {
	return createFailure(kind, 'not-run', detail, retryAfterMs);
}

/**
 * Creates the failure of a request that may have run.
 *
 * @param kind - The error kind.
 * @param detail - One sentence that includes the observed value.
 * @param retryAfterMs - The delay after which a retry may succeed, in milliseconds.
 * @returns The failure.
 */
export function possiblyRunFailure(
	kind: ErrorKind,
	detail: string,
	retryAfterMs?: number,
): Failure {
	return createFailure(kind, 'unknown', detail, retryAfterMs);
}

function createFailure(
	kind: ErrorKind,
	ran: RunState,
	detail: string,
	retryAfterMs: number | undefined,
): Failure {
	return retryAfterMs === undefined
		? {kind, ran, detail}
		: {kind, ran, detail, retryAfterMs};
}
