/** Forwards non-idempotent requests to the owner of their key. */

import {Buffer} from 'node:buffer';
import {
	refuseCallWithoutKey,
	type KeyedCallDispatcher,
} from '../../peers/keyed-call-dispatcher.js';
import type {FleetView} from '../../peers/fleet-view.js';
import type {Exchange, FilterResult} from '../exchange.js';
import type {Filter} from '../filter.js';

/** The dependencies of the filter. */
export type AtMostOnceOptions = {
	readonly view: FleetView;
	readonly calls: KeyedCallDispatcher;
};

/**
 * Makes the filter that runs a non-idempotent request at most once.
 *
 * @param options - The fleet view, which generates keys, and the dispatcher that runs requests by their key.
 * @returns The filter.
 */
export function makeAtMostOnceFilter(options: AtMostOnceOptions): Filter {
	return async (exchange, next) => {
		const {isIdempotent} = exchange.getIdentityOrThrow();
		const result = isIdempotent
			? await next()
			: await runWithKey(exchange, options);
		exchange.isRunStateOfKey = true;
		return result;
	};
}

async function runWithKey(
	exchange: Exchange,
	{view, calls}: AtMostOnceOptions,
): Promise<FilterResult> {
	const {key: givenKey, deadlineMs} = exchange.getIdentityOrThrow();
	const key = givenKey ?? view.makeKey();
	if (key === undefined) {
		return refuseCallWithoutKey();
	}

	exchange.issuedKey = givenKey === undefined ? key : undefined;
	// The owner of the key alone knows whether the request has run.
	exchange.unsettledCopies = undefined;
	const {requestId, method, url, headers} = exchange.incoming;
	return calls.serve({
		requestId,
		key,
		isNew: givenKey === undefined,
		method,
		url,
		headers,
		body: exchange.bodyBytes ?? Buffer.alloc(0),
		deadlineMs,
	});
}
