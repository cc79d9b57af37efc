/** Builds the response to a caller from what the attempts have brought. */

import {notRunFailure, possiblyRunFailure} from '@bilberryscale/core';
import {
	makeShutdownFailure,
	type FilterResult,
} from '@bilberryscale/daemon/edge';
import {Err, Ok} from 'ts-results-es';
import {describeResult, type AttemptResult} from './attempt-result.js';

/** Retry delay for callers whose request was refused by targets with free capacity, in milliseconds. */
const refusedRetryAfterMs = 40;

/**
 * Builds the result for the caller from the best attempt.
 *
 * @param best - The result of the best attempt.
 * @param executions - In how many attempts a target may have run the request.
 * @param reason - Why there is no further attempt; undefined if that follows from the result.
 * @returns The response, or the reason for the failure.
 */
export function buildResult(
	best: AttemptResult,
	executions: number,
	reason: string | undefined,
): FilterResult {
	if (best.kind === 'answered') {
		return Ok(best.answer);
	}

	if (executions === 0 && best.kind === 'failed' && best.cause === 'too-late') {
		return Err(makeShutdownFailure());
	}

	const detail =
		describeResult(best) + (reason === undefined ? '' : `; ${reason}`);
	if (executions === 0) {
		// Targets with free capacity refuse at random, so an early retry can succeed.
		return Err(notRunFailure('target-refused', detail, refusedRetryAfterMs));
	}

	const isTimedOut = best.kind === 'failed' && best.cause === 'overdue';
	return Err(
		possiblyRunFailure(
			isTimedOut ? 'deadline-exceeded' : 'target-failed',
			detail,
		),
	);
}
