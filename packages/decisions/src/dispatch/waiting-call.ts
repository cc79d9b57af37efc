/** A call in a queue. */

import type {Call} from './call.js';

/** A call that waits for a target. */
export type WaitingCall = {
	readonly call: Call;
	readonly enqueuedAtMs: number;
	/** When the wait ends, on the monotonic clock, in milliseconds. */
	readonly expiresAtMs: number;
	/** Whether the call has left; its place is cleared later. */
	isGone: boolean;
};
