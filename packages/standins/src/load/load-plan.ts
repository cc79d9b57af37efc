/** What callers do in a run. */

/** The load on one service. */
export type ServiceLoad = {
	readonly service: string;
	/** Calls a second, in the mean. */
	readonly callsPerSecond: number;
	readonly method: 'GET' | 'POST';
	readonly callerClass: string;
	/** The path and the query behind the service's name. */
	readonly path?: string;
};

/** How callers send a non-idempotent call again. */
export type Resending = {
	/** The most sends of a call, the first one included. */
	readonly attempts: number;
	/** The pause before the next send, in the mean, in milliseconds. */
	readonly pauseMs: number;
	/** The share of calls that are sent twice at once from the start. */
	readonly atOnceShare: number;
};

/** An entry host as the balancer knows it. */
export type BalancedEntry = {
	readonly callersUrl: string;
	readonly readyUrl: string;
};

/** The whole load of a run. */
export type LoadPlan = {
	readonly entries: readonly BalancedEntry[];
	readonly services: readonly ServiceLoad[];
	readonly durationMs: number;
	readonly seed: number;
	/** The local IP number that calls leave from. */
	readonly localAddress: string;
	/** How calls without a served answer are sent again; undefined sends once. */
	readonly resending?: Resending;
	/** How long a caller waits for an answer, in milliseconds. */
	readonly timeoutMs?: number;
	/** Where the record of each call goes; undefined writes none. */
	readonly historyFile?: string;
};

/** What a caller saw of one send of a call. */
export type CallRecord = {
	readonly service: string;
	readonly callerClass?: string;
	readonly method: string;
	readonly requestId: string;
	/** Is the same for all sends of a call. */
	readonly key: string | undefined;
	/** Counts the sends of a call from 0. */
	readonly attempt: number;
	/** The entry host that it went to. */
	readonly entry: string;
	/** Milliseconds since the Unix epoch. */
	readonly sentAtMs: number;
	/** Milliseconds since the Unix epoch. */
	readonly endedAtMs: number;
	/** From the intended start to the last byte, in milliseconds. */
	readonly latencyMs: number;
	/** The status, or 0 if no whole answer came. */
	readonly status: number;
	/** The error kind, or the code of the error if no whole answer came. */
	readonly errorKind: string | undefined;
	readonly ran: string | undefined;
	/** Whether the answer is whole and belongs to this call. */
	readonly isWhole: boolean;
};
