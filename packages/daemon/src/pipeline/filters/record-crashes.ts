/** Records which request a target was running when its connection failed. */

import type {Clock} from '@bilberryscale/core';
import type {
	CrashIncident,
	CrashSuspects,
	TargetState,
} from '@bilberryscale/decisions';
import {getRequestSignature} from '../../dispatch/request-signature.js';
import type {Filter} from '../filter.js';

/** The dependencies of the filter. */
export type RecordCrashesOptions = {
	readonly suspects: CrashSuspects;
	readonly clock: Clock;
};

/**
 * Makes the filter that records crash incidents; it runs around each attempt.
 *
 * @param options - The crash suspects and the clock.
 * @returns The filter.
 */
export function makeRecordCrashesFilter(options: RecordCrashesOptions): Filter {
	const {suspects, clock} = options;
	return async (exchange, next) => {
		const {target} = exchange;
		const incarnation = target?.bootId;
		const result = await next();
		if (result.isOk()) {
			if (!suspects.isEmpty) {
				suspects.clear(getRequestSignature(exchange));
			}
		} else if (result.error.kind === 'target-failed' && target !== undefined) {
			suspects.addIncident(
				getRequestSignature(exchange),
				makeIncident(target, incarnation, clock.monotonicMs()),
			);
		}

		return result;
	};
}

/** An incarnation has ended once another one is seen, or the target accepts no connection. */
function makeIncident(
	target: TargetState,
	incarnation: TargetState['bootId'],
	atMs: number,
): CrashIncident {
	return {
		incarnation: `${target.target.id} ${incarnation ?? ''}`,
		atMs,
		isConfirmed: () =>
			target.bootId !== incarnation || target.coldStart !== undefined,
	};
}
