/** The result of one attempt to send a request to a target. */

import type {IncomingHttpHeaders} from 'node:http';
import type {Answer} from '@bilberryscale/daemon/edge';

/** Why an attempt brought no usable response. */
export type FailureCause =
	/** The target accepted no connection. */
	| 'unreachable'
	/** The connection or the response broke off, or the response is invalid. */
	| 'broken'
	/** The target sent bytes without end, and its connection was closed. */
	| 'flooded'
	/** The target responds neither to requests nor to probes. */
	| 'silent'
	/** The target does not respond to the request in a time that it rarely takes. */
	| 'stalled'
	/** The deadline of the request has passed. */
	| 'overdue'
	/** The other copy of the request has been answered. */
	| 'superseded'
	/** The caller has disconnected. */
	| 'caller-gone'
	/** The host shuts down before the target could answer. */
	| 'too-late'
	/** The target is cold and bore no more requests when the connection was open. */
	| 'cold';

/** The result of one attempt. */
export type AttemptResult =
	| {readonly kind: 'answered'; readonly answer: Answer}
	/** The target states that it did not run the request. */
	| {
			readonly kind: 'refused';
			readonly status: number;
			readonly headers?: IncomingHttpHeaders;
	  }
	| {
			readonly kind: 'failed';
			readonly cause: FailureCause;
			readonly mayHaveRun: boolean;
			readonly detail: string;
	  };

/** The lowest status that counts as a fault of the target. */
export const minServerErrorStatus = 500;

/**
 * Picks the result to pass on if no later attempt has a better one.
 *
 * @param previous - The best result so far; undefined before the first attempt.
 * @param latest - The result of the latest attempt.
 * @returns The better result for the caller; the latest one if both are equal.
 */
export function pickBetterResult(
	previous: AttemptResult | undefined,
	latest: AttemptResult,
): AttemptResult {
	return previous === undefined || rankResult(latest) >= rankResult(previous)
		? latest
		: previous;
}

/** Ranks a result by its use to the caller. */
function rankResult(result: AttemptResult): number {
	if (result.kind !== 'answered') {
		return 0;
	}

	return result.answer.status < minServerErrorStatus ? 2 : 1;
}

/**
 * Checks whether no later attempt could have a better result.
 *
 * @remarks A response whose end is marked only by the end of the connection may be incomplete.
 * @param result - The result of an attempt.
 * @returns Whether its response is passed on without a retry.
 */
export function isConclusive(result: AttemptResult): boolean {
	return (
		result.kind === 'answered' &&
		result.answer.status < minServerErrorStatus &&
		result.answer.isCloseDelimited !== true
	);
}

/**
 * Checks whether the target may have run the request.
 *
 * @param result - The result of an attempt.
 * @returns False only if the target certainly did not run it.
 */
export function mayHaveRun(result: AttemptResult): boolean {
	return (
		result.kind === 'answered' ||
		(result.kind === 'failed' && result.mayHaveRun)
	);
}

/**
 * Checks whether the target failed the request.
 *
 * @param result - The result of an attempt.
 * @returns Whether the failure should be reported to other hosts.
 */
export function isTargetFault(result: AttemptResult): boolean {
	return result.kind === 'answered'
		? result.answer.status >= minServerErrorStatus
		: result.kind === 'failed' &&
				(result.cause === 'broken' || result.cause === 'flooded');
}

/**
 * Describes a result in words.
 *
 * @param result - The result of an attempt.
 * @returns The description.
 */
export function describeResult(result: AttemptResult): string {
	switch (result.kind) {
		case 'answered': {
			return `answered with status ${result.answer.status}`;
		}

		case 'refused': {
			return `refused with status ${result.status}`;
		}

		case 'failed': {
			return `${result.cause}: ${result.detail}`;
		}
	}
}
