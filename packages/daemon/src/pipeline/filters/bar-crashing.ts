/** Stops requests that crash the targets that run them. */

import {
	notRun,
	type AuditSink,
	type Clock,
	type Digest,
} from '@bilberryscale/core';
import type {CrashSuspects} from '@bilberryscale/decisions';
import {Err} from 'ts-results-es';
import {getRequestSignature} from '../../dispatch/request-signature.js';
import type {FilterResult} from '../exchange.js';
import type {Filter} from '../filter.js';

/** What the filter works with. */
export type BarCrashingOptions = {
	readonly suspects: CrashSuspects;
	readonly clock: Clock;
	readonly audit: AuditSink;
};

const suspectRetryMs = 1000;

/**
 * Makes the filter; it stands before a target is taken.
 *
 * @param options - What is remembered of crashes.
 * @returns The filter.
 */
export function makeBarCrashingFilter(options: BarCrashingOptions): Filter {
	const {suspects, clock} = options;
	return async (exchange, next) => {
		if (suspects.isEmpty) {
			return next();
		}

		const signature = getRequestSignature(exchange);
		if (suspects.isBlocked(signature, clock.monotonicMs())) {
			return refuseBarred(signature, options);
		}

		if (!suspects.begin(signature, clock.monotonicMs())) {
			const detail = 'Another request that is suspected to crash targets runs.';
			return Err(notRun('over-capacity', detail, suspectRetryMs));
		}

		try {
			return await next();
		} finally {
			suspects.end(signature);
		}
	};
}

function refuseBarred(
	signature: Digest,
	{audit}: BarCrashingOptions,
): FilterResult {
	audit({
		kind: 'request-barred',
		subject: signature,
		cause: 'two targets ended while they ran it',
	});
	return Err(
		notRun('request-barred', 'Two targets ended while they ran this request.'),
	);
}
