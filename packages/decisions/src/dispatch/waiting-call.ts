/** An entry of the admission queue. */

import type {Call} from './call.js';

/** A call that waits for a target. */
export type WaitingCall = {
	readonly call: Call;
	readonly enqueuedAtMs: number;
	/** When the call stops waiting, on the monotonic clock, in milliseconds. */
	readonly expiresAtMs: number;
	/** Whether the call was removed; queues and heaps drop the entry lazily. */
	isRemoved: boolean;
};
