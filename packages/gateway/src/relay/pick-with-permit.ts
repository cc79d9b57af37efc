/** Picks a target while the request's token is on its way. */

import type {Failure} from '@bilberryscale/core';
import {Err, type Result} from 'ts-results-es';
import type {AllotmentPermit} from '../accounts/allotment-permit.js';
import type {PickedTarget} from '../choice/target-picker.js';

/**
 * Picks a target for a request that may be sent once it holds a token. A refused token ends the wait for a target at
 * once; a failure to pick a target ends the wait for the token, which the caller of this function gives back.
 *
 * @param permit - The permission under the rate limit; undefined without a limit.
 * @param callerSignal - Aborts when the caller disconnects.
 * @param pick - Picks the target; ends when its signal aborts.
 * @param release - Frees a target that is not used after all.
 * @returns The target, or why the request is not sent.
 */
export async function pickWithPermit(
	permit: AllotmentPermit | undefined,
	callerSignal: AbortSignal,
	pick: (signal: AbortSignal) => Promise<Result<PickedTarget, Failure>>,
	release: (picked: PickedTarget) => void,
): Promise<Result<PickedTarget, Failure>> {
	if (permit === undefined) {
		return pick(callerSignal);
	}

	const {refusalSignal} = permit;
	const picking = pick(AbortSignal.any([callerSignal, refusalSignal]));
	const picked = await Promise.race([picking, waitForAbort(refusalSignal)]);
	// After a refusal of the token, the pick may have failed only because its signal was aborted.
	if (picked?.isErr() === true && !refusalSignal.aborted) {
		return picked;
	}

	const refusal = await permit.hold();
	if (refusal === undefined) {
		return picked ?? picking;
	}

	// The pick may succeed before it notices that its signal was aborted.
	void picking.then((latePick) => {
		if (latePick.isOk()) {
			release(latePick.value);
		}
	});
	return Err(refusal);
}

/** The listener needs no removal, since the signal belongs to the permit of one request. */
async function waitForAbort(signal: AbortSignal): Promise<undefined> {
	return new Promise((resolve) => {
		if (signal.aborted) {
			resolve(undefined);
		} else {
			signal.addEventListener('abort', () => {
				resolve(undefined);
			});
		}
	});
}
