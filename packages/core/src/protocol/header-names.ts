/** The names of the HTTP headers that the system reads and writes. */

/** Headers between callers and entry hosts. */
export const callerHeaders = {
	/** Names the non-idempotent request; a UUIDv7. */
	idempotencyKey: 'idempotency-key',
	/** Names the class of the caller. */
	callerClass: 'x-caller-class',
	/** Gives the time that the caller waits, in milliseconds. */
	timeout: 'x-request-timeout-ms',
	/** Names the call in logs and in `explain`. */
	requestId: 'x-request-id',
	/** Says whether a refused request may have run. */
	runState: 'x-run-state',
} as const;

/** Headers between entry hosts and targets. */
export const targetHeaders = {
	/** Gives the time that is left, in milliseconds. */
	timeout: 'x-request-timeout-ms',
	/** Names the call. */
	requestId: 'x-request-id',
	/** Names the non-idempotent request. */
	idempotencyKey: 'idempotency-key',
	/** Is `not-run` on a refusal by a target that did not begin to run. */
	runState: 'x-run-state',
	/** Gives the requests that the target runs or holds. */
	load: 'x-load-in-flight',
	/** Names the target's life; it changes when the target restarts. */
	bootId: 'x-boot-id',
} as const;
