/** A call as the decisions see it. */

import type {
	CallerClass,
	Failure,
	RequestId,
	TargetId,
} from '@bilberryscale/core';
import type {TargetState} from '../target/target-state.js';

/** A call that wants a target. */
export type Call = {
	readonly requestId: RequestId;
	readonly callerClass: CallerClass;
	readonly isIdempotent: boolean;
	/** The deadline on the monotonic clock, in milliseconds. */
	readonly deadlineMs: number;
	/** The targets that were tried before. */
	readonly triedTargets: readonly TargetId[];
};

/** The call may be sent to the target now. */
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

/** What is decided about a call that has just come. */
export type Decision = Grant | Refusal | Wait;

/** What is decided about a call that has waited. */
export type Settlement = Grant | Refusal;

/** What a new call brings about. */
export type OfferResult = {
	readonly decision: Decision;
	/** The calls that waited before and are now settled. */
	readonly settled: readonly Settlement[];
};
