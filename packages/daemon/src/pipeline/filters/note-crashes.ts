/** Notes which request a target ran when its connection broke. */

import type {Clock} from '@bilberryscale/core';
import type {
	CrashIncident,
	CrashSuspects,
	TargetState,
} from '@bilberryscale/decisions';
import {getRequestSignature} from '../../dispatch/request-signature.js';
import type {Filter} from '../filter.js';

/** What the filter works with. */
export type NoteCrashesOptions = {
	readonly suspects: CrashSuspects;
	readonly clock: Clock;
};

/**
 * Makes the filter; it stands just before each send.
 *
 * @param options - What is remembered of crashes.
 * @returns The filter.
 */
export function makeNoteCrashesFilter(options: NoteCrashesOptions): Filter {
	const {suspects, clock} = options;
	return async (exchange, next) => {
		const {target} = exchange;
		const life = target?.bootId;
		const result = await next();
		if (result.isOk()) {
			if (!suspects.isEmpty) {
				suspects.clear(getRequestSignature(exchange));
			}
		} else if (result.error.kind === 'target-failed' && target !== undefined) {
			suspects.addIncident(
				getRequestSignature(exchange),
				makeIncident(target, life, clock.monotonicMs()),
			);
		}

		return result;
	};
}

/** A life has ended once another is seen, or the target takes no connection. */
function makeIncident(
	target: TargetState,
	life: TargetState['bootId'],
	atMs: number,
): CrashIncident {
	return {
		incarnation: `${target.target.id} ${life ?? ''}`,
		atMs,
		isConfirmed: () => target.bootId !== life || target.coldStart !== undefined,
	};
}
