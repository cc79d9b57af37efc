/** What callers do in a run. */

/** The load on one service. */
export type ServiceLoad = {
	readonly service: string;
	/** Calls a second, in the mean. */
	readonly callsPerSecond: number;
	readonly method: 'GET' | 'POST';
	readonly callerClass: string;
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
	/** Where the record of each call goes; undefined writes none. */
	readonly historyFile?: string;
};

/** What a caller saw of one call. */
export type CallRecord = {
	readonly service: string;
	readonly method: string;
	readonly requestId: string;
	readonly key: string | undefined;
	/** The entry host that it went to. */
	readonly entry: string;
	/** Milliseconds since the Unix epoch. */
	readonly sentAtMs: number;
	/** From the intended start to the last byte, in milliseconds. */
	readonly latencyMs: number;
	/** The status, or 0 if no whole answer came. */
	readonly status: number;
	readonly errorKind: string | undefined;
	readonly ran: string | undefined;
	/** Whether the answer is whole and belongs to this call. */
	readonly isWhole: boolean;
};
