/** Sends non-idempotent calls to the home of their key. */

import {Buffer} from 'node:buffer';
import {
	refuseWithoutKey,
	type KeyedCallDispatcher,
} from '../../peers/keyed-call-dispatcher.js';
import type {FleetView} from '../../peers/fleet-view.js';
import type {Exchange, FilterResult} from '../exchange.js';
import type {Filter} from '../filter.js';

/** What the filter works with. */
export type AtMostOnceOptions = {
	readonly view: FleetView;
	readonly calls: KeyedCallDispatcher;
};

/**
 * Makes the filter that runs a non-idempotent call at most once.
 *
 * @param options - Where keys are run.
 * @returns The filter.
 */
export function makeAtMostOnceFilter(options: AtMostOnceOptions): Filter {
	return async (exchange, next) => {
		const {isIdempotent} = exchange.getIdentityOrThrow();
		const result = isIdempotent ? await next() : await serve(exchange, options);
		exchange.isRunStateOfKey = true;
		return result;
	};
}

async function serve(
	exchange: Exchange,
	{view, calls}: AtMostOnceOptions,
): Promise<FilterResult> {
	const {key: givenKey, deadlineMs} = exchange.getIdentityOrThrow();
	const key = givenKey ?? view.makeKey();
	if (key === undefined) {
		return refuseWithoutKey();
	}

	exchange.issuedKey = givenKey === undefined ? key : undefined;
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
