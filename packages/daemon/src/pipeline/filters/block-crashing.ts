/** Blocks requests that crash the targets that run them. */

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

/** The dependencies of the filter. */
export type BlockCrashingOptions = {
	readonly suspects: CrashSuspects;
	readonly clock: Clock;
	readonly audit: AuditSink;
};

/** The retry delay for a suspect while another one runs. */
const suspectRetryMs = 1000;

/**
 * Makes the filter that refuses blocked requests and runs crash suspects one at a time.
 *
 * @remarks It runs before a target is acquired.
 * @param options - The crash suspects, the clock and the audit sink.
 * @returns The filter.
 */
export function makeBlockCrashingFilter(options: BlockCrashingOptions): Filter {
	const {suspects, clock} = options;
	return async (exchange, next) => {
		if (suspects.isEmpty) {
			return next();
		}

		const signature = getRequestSignature(exchange);
		if (suspects.isBlocked(signature, clock.monotonicMs())) {
			return refuseBlocked(signature, options);
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

function refuseBlocked(
	signature: Digest,
	{audit}: BlockCrashingOptions,
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
