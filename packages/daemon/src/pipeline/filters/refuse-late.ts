/** Refuses requests that can't be expected to end before the host shuts down. */

import type {Clock} from '@bilberryscale/core';
import {Err} from 'ts-results-es';
import type {ShutdownLimit} from '../../dispatch/shutdown-limit.js';
import {makeShutdownFailure} from '../../http/make-shutdown-failure.js';
import type {Filter} from '../filter.js';

/**
 * Makes the filter that refuses requests for which it is too late, and lets the host refuse them later
 * while they wait.
 *
 * @param limit - Compares requests with the time that is left.
 * @returns The filter.
 */
export function makeRefuseLateFilter(limit: ShutdownLimit): Filter {
	return async (exchange, next) => {
		const identity = exchange.getIdentityOrThrow();
		exchange.isTooLate = () => limit.isTooLate(identity);
		// From here on, only what forwards or sends the request makes its run state unknown.
		exchange.unsettledCopies = 0;
		return exchange.isTooLate() ? Err(makeShutdownFailure()) : next();
	};
}

/**
 * Makes the filter that measures how long the rest of the pipeline takes to serve a request.
 *
 * @param limit - Gets the durations.
 * @param clock - The clock.
 * @returns The filter.
 */
export function makeMeasureFilter(limit: ShutdownLimit, clock: Clock): Filter {
	return async (exchange, next) => {
		const startedAtMs = clock.monotonicMs();
		const result = await next();
		if (result.isOk()) {
			limit.addDuration(
				exchange.getIdentityOrThrow(),
				clock.monotonicMs() - startedAtMs,
			);
		}

		return result;
	};
}
