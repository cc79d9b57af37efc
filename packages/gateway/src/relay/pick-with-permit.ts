/** Picks a target while the request's token is on its way. */

import type {Failure} from '@bilberryscale/core';
import {Err, type Result} from 'ts-results-es';
import type {AllotmentPermit} from '../accounts/allotment-permit.js';
import type {PickedTarget} from '../choice/target-picker.js';

/**
 * Picks a target for a request that may be sent once it holds a token. A refusal ends the wait for a target at once.
 *
 * @param permit - The permission under the rate limit; undefined without a limit.
 * @param callerSignal - Aborts when the caller disconnects.
 * @param pick - Picks the target; ends when its signal aborts.
 * @returns The target, or why the request is not sent.
 */
export async function pickWithPermit(
	permit: AllotmentPermit | undefined,
	callerSignal: AbortSignal,
	pick: (signal: AbortSignal) => Promise<Result<PickedTarget, Failure>>,
): Promise<Result<PickedTarget, Failure>> {
	if (permit === undefined) {
		return pick(callerSignal);
	}

	const {refusalSignal} = permit;
	const picking = pick(AbortSignal.any([callerSignal, refusalSignal]));
	const picked = await Promise.race([picking, waitForAbort(refusalSignal)]);
	if (picked?.isErr() === true && !refusalSignal.aborted) {
		return picked;
	}

	const refusal = await permit.hold();
	if (refusal === undefined) {
		return picked ?? picking;
	}

	releaseWhenPicked(picking);
	return Err(refusal);
}

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

function releaseWhenPicked(
	picking: Promise<Result<PickedTarget, Failure>>,
): void {
	void picking.then((picked) => {
		if (picked.isOk()) {
			const {state, connection} = picked.value;
			state.pool.release(connection, false);
		}
	});
}
