/** Keeps what has become of a request over its attempts. */

import type {TargetId} from '@bilberryscale/core';
import type {AllotmentPermit} from '../accounts/allotment-permit.js';
import type {PickedTarget} from '../choice/target-picker.js';
import {mayHaveRun, type AttemptResult} from './attempt-result.js';
import type {SentCopy} from './hedged-dispatcher.js';

/** A target that is ready for the next attempt. */
export type SecuredRetry = {
	readonly picked: PickedTarget;
	/** When the retry was taken, on the monotonic clock, in milliseconds. */
	readonly takenAtMs: number;
};

/** What has become of a request so far. */
export type RequestProgress = {
	readonly triedTargets: Set<TargetId>;
	/** The targets that have refused the request without running it. */
	readonly refusingTargets: Set<TargetId>;
	/** The permission under the rate limit of its client account; undefined without a limit. */
	readonly permit: AllotmentPermit | undefined;
	/** Whether the request counts for the retry budget of this host or another one. */
	isCounted: boolean;
	/** When a retry was taken out of the budget that is not sent yet, on the monotonic clock; undefined if there is none. */
	retryTakenAtMs: number | undefined;
	/** The target for the next attempt, if it is already picked, and when its retry was taken out of the budget. */
	next: SecuredRetry | undefined;
	attempts: number;
	/** The number of attempts in which a target may have run the request. */
	executions: number;
	best: AttemptResult | undefined;
};

/** Status 421 Misdirected Request: the address belongs to another target now. */
const misdirectedStatus = 421;

/**
 * Makes the progress of a request that has not been sent yet.
 *
 * @param permit - The permission under the rate limit of its client account; undefined without a limit.
 * @param isCounted - Whether another host has counted it for the retry budget.
 * @returns The progress.
 */
export function makeRequestProgress(
	permit: AllotmentPermit | undefined,
	isCounted = false,
): RequestProgress {
	return {
		triedTargets: new Set(),
		refusingTargets: new Set(),
		permit,
		isCounted,
		retryTakenAtMs: undefined,
		next: undefined,
		attempts: 0,
		executions: 0,
		best: undefined,
	};
}

/**
 * Counts a copy of a request that was sent beside the one that decided an attempt.
 *
 * @param progress - The progress of the request.
 * @param copy - The copy and how it has ended.
 */
export function addOtherCopy(progress: RequestProgress, copy: SentCopy): void {
	progress.triedTargets.add(copy.target);
	progress.attempts++;
	progress.executions += mayHaveRun(copy.result) ? 1 : 0;
	addRefusingTarget(progress, copy);
}

/**
 * Remembers a target that has refused a request without running it.
 *
 * @param progress - The progress of the request.
 * @param copy - The copy and how it has ended.
 */
export function addRefusingTarget(
	{refusingTargets}: RequestProgress,
	{target, result}: SentCopy,
): void {
	if (result.kind === 'refused' && result.status !== misdirectedStatus) {
		refusingTargets.add(target);
	}
}
