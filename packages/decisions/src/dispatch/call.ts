/** Calls and the decisions about them. */

import type {
	CallerClass,
	Failure,
	RequestId,
	TargetId,
} from '@bilberryscale/core';
import type {TargetState} from '../target/target-state.js';

/** A call to be dispatched to a target. */
export type Call = {
	readonly requestId: RequestId;
	readonly callerClass: CallerClass;
	readonly isIdempotent: boolean;
	/** The deadline on the monotonic clock, in milliseconds. */
	readonly deadlineMs: number;
	/** The targets of earlier attempts; empty for the first attempt. */
	readonly triedTargets: readonly TargetId[];
};

/** The call may be sent now; the target already counts it as outstanding. */
export type Grant = {
	readonly kind: 'grant';
	readonly call: Call;
	readonly target: TargetState;
};

/** The call is refused. */
export type Refusal = {
	readonly kind: 'refusal';
	readonly call: Call;
	readonly failure: Failure;
};

/** The call waits for a target. */
export type Wait = {
	readonly kind: 'wait';
	readonly call: Call;
};

/** The decision about a call that was just offered. */
export type Decision = Grant | Refusal | Wait;

/** The decision that ends the wait of a call. */
export type Settlement = Grant | Refusal;

/** The result of offering a call. */
export type OfferResult = {
	readonly decision: Decision;
	/** Waiting calls that were granted or refused in the same step. */
	readonly settled: readonly Settlement[];
};
