/** How one send to a target ended. */

import type {Answer} from '@bilberryscale/daemon/edge';

/** Why a send brought no answer. */
export type BrokenCause =
	/** The target took no connection. */
	| 'unreachable'
	/** The connection or the answer broke off, or is not the answer. */
	| 'broken'
	/** The target is silent to everything. */
	| 'silent'
	/** The time of the request is over. */
	| 'overdue'
	/** The caller has left. */
	| 'caller-gone';

/** How one send ended. */
export type SendResult =
	| {readonly kind: 'answered'; readonly answer: Answer}
	/** The target says that it did not run the request. */
	| {readonly kind: 'refused'; readonly status: number}
	| {
			readonly kind: 'broken';
			readonly cause: BrokenCause;
			readonly mayHaveRun: boolean;
			readonly detail: string;
	  };

/** From this status on an answer tells of a fault of the target. */
export const lowestFaultStatus = 500;

/**
 * Gets what is passed on if no further send does better.
 *
 * @param former - The better one of the sends before; undefined if there was none.
 * @param latest - The latest send.
 * @returns The one that is worth more to the caller.
 */
export function getBetter(
	former: SendResult | undefined,
	latest: SendResult,
): SendResult {
	return former === undefined || getWorth(latest) >= getWorth(former)
		? latest
		: former;
}

/** Orders results by what they are worth to the caller. */
function getWorth(result: SendResult): number {
	if (result.kind !== 'answered') {
		return 0;
	}

	return result.answer.status < lowestFaultStatus ? 2 : 1;
}

/**
 * Tells whether no further send could do better.
 *
 * @remarks An answer that ends with its connection may be a half.
 * @param result - How a send ended.
 * @returns Whether its answer is passed on at once.
 */
export function isGood(result: SendResult): boolean {
	return (
		result.kind === 'answered' &&
		result.answer.status < lowestFaultStatus &&
		result.answer.isOpenEnded !== true
	);
}

/**
 * Tells whether the target may have run the request.
 *
 * @param result - How a send ended.
 * @returns False only if it certainly did not.
 */
export function mayHaveRun(result: SendResult): boolean {
	return (
		result.kind === 'answered' ||
		(result.kind === 'broken' && result.mayHaveRun)
	);
}

/**
 * Tells whether the target failed the request.
 *
 * @param result - How a send ended.
 * @returns Whether other hosts should hear of it.
 */
export function isTargetsFault(result: SendResult): boolean {
	return result.kind === 'answered'
		? result.answer.status >= lowestFaultStatus
		: result.kind === 'broken' && result.cause === 'broken';
}

/**
 * Describes a result for people.
 *
 * @param result - How a send ended.
 * @returns The description.
 */
export function describeResult(result: SendResult): string {
	switch (result.kind) {
		case 'answered': {
			return `answered with status ${result.answer.status}`;
		}

		case 'refused': {
			return `refused with status ${result.status}`;
		}

		case 'broken': {
			return `${result.cause}: ${result.detail}`;
		}
	}
}
