/** What an answer says about the key of its call. */

import {callerHeaders, type Failure} from '@bilberryscale/core';
import type {Answer, Exchange} from '../pipeline/exchange.js';

/**
 * Makes a refusal true of every send under the key of the call.
 *
 * @param failure - The refusal of this send.
 * @param exchange - The call.
 * @returns The refusal; it says `unknown` of a key that may have run before.
 */
export function scopeToKey(failure: Failure, exchange: Exchange): Failure {
	const {incoming, isRunStateOfKey} = exchange;
	const hasKey = incoming.headers[callerHeaders.idempotencyKey] !== undefined;
	const isTrue = isRunStateOfKey || !hasKey || failure.kind === 'key-invalid';
	return isTrue ? failure : {...failure, ran: 'unknown'};
}

/**
 * Adds the key that this host made for a call that came without one.
 *
 * @param answer - The answer.
 * @param exchange - The call.
 * @returns The answer with the key.
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
