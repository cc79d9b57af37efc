/** The load that callers send, and the records of their attempts. */

/** The load on one service. */
export type ServiceLoad = {
	readonly service: string;
	/** The mean rate of calls per second. */
	readonly callsPerSecond: number;
	readonly method: 'GET' | 'POST';
	readonly callerClass: string;
	/** The path and the query after the service's name; a default path if absent. */
	readonly path?: string;
};

/** How callers retry POST calls, under the same idempotency key. */
export type RetryPolicy = {
	/** The maximum number of attempts, including the first one. */
	readonly attempts: number;
	/** The mean delay before a retry, in milliseconds. */
	readonly pauseMs: number;
	/** The share of calls that start with two simultaneous attempts, each with its own retries. */
	readonly atOnceShare: number;
};

/** The URLs of an entry host for calls and for readiness polls. */
export type BalancedEntry = {
	readonly callersUrl: string;
	readonly readyUrl: string;
};

/** The load on all services of a run, and the entry hosts that it goes to. */
export type LoadPlan = {
	readonly entries: readonly BalancedEntry[];
	readonly services: readonly ServiceLoad[];
	readonly durationMs: number;
	readonly seed: number;
	/** The local IP address that calls are sent from. */
	readonly localAddress: string;
	/** How calls without a successful response are retried; no retries if absent. */
	readonly resending?: RetryPolicy;
	/** How long a caller waits for a response, in milliseconds; no timeout if absent. */
	readonly timeoutMs?: number;
	/** The file that the records of all attempts are written to; none is written if absent. */
	readonly historyFile?: string;
};

/** One attempt of a call, as its caller saw it. */
export type CallRecord = {
	readonly service: string;
	readonly callerClass?: string;
	readonly method: string;
	readonly requestId: string;
	/** The idempotency key, which all attempts of a call share. */
	readonly key: string | undefined;
	/** The number of the attempt, from 0; simultaneous attempts count separately. */
	readonly attempt: number;
	/** The URL of the entry host that the attempt was sent to. */
	readonly entry: string;
	/** Milliseconds since the Unix epoch. */
	readonly sentAtMs: number;
	/** Milliseconds since the Unix epoch. */
	readonly endedAtMs: number;
	/** From the time the call was due to the end of the response, in milliseconds. */
	readonly latencyMs: number;
	/** The HTTP status, or 0 without a complete response. */
	readonly status: number;
	/** The kind of a problem document, or the error's code or name without a complete response. */
	readonly errorKind: string | undefined;
	/** The run state of a problem document; undefined for other responses. */
	readonly ran: string | undefined;
	/** Whether the response is complete and belongs to this call. */
	readonly isWhole: boolean;
};
