/** The header conventions between callers and an entry host. */

import {callerHeaders} from '@bilberryscale/core';

/** Names and formats of the headers between callers and an entry host. */
export type CallerProtocol = {
	/** The header that carries the request ID, in requests and responses. */
	readonly requestIdHeader: string;
	/** The header of an error response that says whether the request may have run. */
	readonly runStateHeader: string;
	/**
	 * Formats the value of `Retry-After`.
	 *
	 * @param retryAfterMs - How long the caller should wait before a retry, in milliseconds.
	 * @returns The value in seconds.
	 */
	readonly formatRetryAfter: (retryAfterMs: number) => string;
};

const msPerSecond = 1000;

/** The protocol of the public API. */
export const defaultCallerProtocol: CallerProtocol = {
	requestIdHeader: callerHeaders.requestId,
	runStateHeader: callerHeaders.runState,
	formatRetryAfter: (retryAfterMs) =>
		String(Math.ceil(retryAfterMs / msPerSecond)),
};
