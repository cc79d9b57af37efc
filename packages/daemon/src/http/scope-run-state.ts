/** What a response says about the idempotency key of its request. */

import {callerHeaders, type Failure} from '@bilberryscale/core';
import type {Answer, Exchange} from '../pipeline/exchange.js';

/**
 * Makes the run state of a failure cover every request with the same
 * idempotency key, not only this one.
 *
 * @param failure - The failure of this request.
 * @param exchange - The request being processed.
 * @returns The failure; its run state is `unknown` if an earlier request with
 * the key may have run.
 */
export function scopeRunStateToKey(
	failure: Failure,
	exchange: Exchange,
): Failure {
	const {incoming, isRunStateOfKey} = exchange;
	const hasKey = incoming.headers[callerHeaders.idempotencyKey] !== undefined;
	const isValidForKey =
		isRunStateOfKey || !hasKey || failure.kind === 'key-invalid';
	return isValidForKey ? failure : {...failure, ran: 'unknown'};
}

/**
 * Adds the idempotency key that this host generated for a request without one.
 *
 * @param answer - The answer.
 * @param exchange - The request being processed.
 * @returns The answer, with the key among its headers if one was generated.
 */
export function addIssuedKey(answer: Answer, {issuedKey}: Exchange): Answer {
	if (issuedKey === undefined) {
		return answer;
	}

	const headers = {
		...answer.headers,
		[callerHeaders.idempotencyKey]: issuedKey,
	};
	return {...answer, headers};
}
