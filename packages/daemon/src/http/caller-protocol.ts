/** What callers and an entry host have agreed on. */

import {callerHeaders} from '@bilberryscale/core';

/** The names and the form of headers between callers and an entry host. */
export type CallerProtocol = {
	/** Names the call in requests and answers. */
	readonly requestIdHeader: string;
	/** Says in a refusal whether the request may have run. */
	readonly runStateHeader: string;
	/**
	 * Formats the value of `Retry-After`.
	 *
	 * @param retryAfterMs - When coming back helps, in milliseconds.
	 * @returns The value in seconds.
	 */
	readonly formatRetryAfter: (retryAfterMs: number) => string;
};

const msPerSecond = 1000;

/** The protocol of the product's own interface. */
export const ownProtocol: CallerProtocol = {
	requestIdHeader: callerHeaders.requestId,
	runStateHeader: callerHeaders.runState,
	formatRetryAfter: (retryAfterMs) =>
		String(Math.ceil(retryAfterMs / msPerSecond)),
};
