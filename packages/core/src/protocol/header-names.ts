/** The HTTP header names that the system reads and writes. */

/** The headers exchanged between callers and entry hosts. */
export const callerHeaders = {
	/** The idempotency key of a non-idempotent request; a UUIDv7. */
	idempotencyKey: 'idempotency-key',
	/** The class of the caller. */
	callerClass: 'x-caller-class',
	/** How long the caller waits for the response, in milliseconds. */
	timeout: 'x-request-timeout-ms',
	/** The id of the request in logs and in `explain`. */
	requestId: 'x-request-id',
	/** Whether a failed request may have run. */
	runState: 'x-run-state',
} as const;

/** The headers exchanged between entry hosts and targets. */
export const targetHeaders = {
	/** The time left until the deadline, in milliseconds. */
	timeout: 'x-request-timeout-ms',
	/** The id of the request. */
	requestId: 'x-request-id',
	/** The idempotency key of a non-idempotent request. */
	idempotencyKey: 'idempotency-key',
	/** `not-run` if the target refused the request before it began to run it. */
	runState: 'x-run-state',
	/** The load of the target: the number of requests that it is running or holding in its queue. */
	load: 'x-load-in-flight',
	/** The incarnation of the target; changes when the target restarts. */
	bootId: 'x-boot-id',
} as const;
