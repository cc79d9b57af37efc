/** A request whose answer has not been delivered yet. */

import type {RequestId} from '@bilberryscale/core';
import type {SentCopy} from '../pipeline/exchange.js';

/** How far an open request has got. */
export type OpenRequestPhase =
	/** No target may have run it; it waits for one or is being read. */
	| 'waiting'
	/** A target may have run it or may be at work on it. */
	| 'sent'
	/** Its answer is being written to the caller. */
	| 'answering';

/** An open request. */
export type OpenRequest = {
	readonly requestId: RequestId;
	/** When its head was received, on the monotonic clock, in milliseconds. */
	readonly receivedAtMs: number;
	readonly phase: OpenRequestPhase;
	/** The copy that was sent last; undefined if none was. */
	readonly lastCopy?: SentCopy | undefined;
	/** How long a target was expected to take at the most, in milliseconds; undefined if that is not known. */
	readonly expectedMs?: number | undefined;
};
