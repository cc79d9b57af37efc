/** Behaviour, actions and counters of a simulated target, as exchanged with the control server. */

/** Random pauses that delay every running request of a target. */
export type StallPattern = {
	/** The mean number of stalls that start per second. */
	readonly perSecond: number;
	readonly shortestMs: number;
	readonly longestMs: number;
};

/**
 * Which load a target reports: the true one, the one when this setting took
 * effect, always 0, or none in response headers.
 */
export type LoadReporting = 'true' | 'frozen' | 'zero' | 'none';

/** The network between a target and the hosts whose address has a given prefix. */
export type SourceLink = {
	/** The prefix of the source's IP address, such as `127.3.2.`. */
	readonly source: string;
	/** Whether requests and responses are dropped. */
	readonly isCut: boolean;
	/** The additional one-way delay in milliseconds. */
	readonly delayMs: number;
};

/** The configurable behaviour of a target. */
export type TargetBehaviour = {
	/** The factor on service times. */
	readonly slowdown: number;
	/** The stall pattern; null for no stalls. */
	readonly stalls: StallPattern | null;
	/** Whether new requests are refused with the run state `not-run`. */
	readonly isDraining: boolean;
	readonly loadReporting: LoadReporting;
	/** The age of the load that the load endpoint reports, in milliseconds. */
	readonly loadLagMs: number;
	/** The share of responses whose connection closes in the middle of the body. */
	readonly brokenAnswerShare: number;
	/** The time from a crash until the target listens again, in milliseconds. */
	readonly restartMs: number;
	readonly links: readonly SourceLink[];
};

/** The behaviour of a target until it is changed. */
export const defaultBehaviour: TargetBehaviour = {
	slowdown: 1,
	stalls: null,
	isDraining: false,
	loadReporting: 'true',
	loadLagMs: 500,
	brokenAnswerShare: 0,
	restartMs: 1000,
	links: [],
};

/** A one-time action of a target. */
export type TargetAction =
	/** Resets the warm-up; assigns a new boot ID if `changesBootId` is set. */
	| {readonly kind: 'turn-cold'; readonly changesBootId: boolean}
	/** Stops at once and listens again after `restartMs`, cold. */
	| {readonly kind: 'crash'}
	/** Stops at once and stays down until `start`. */
	| {readonly kind: 'kill'}
	| {readonly kind: 'start'}
	/** Requests on currently open connections get no response; new connections work. */
	| {readonly kind: 'silence-open-connections'};

/** The counters of a target since its creation. */
export type TargetCounters = {
	readonly begun: number;
	readonly ended: number;
	readonly refused: number;
	readonly withdrawn: number;
	readonly crashes: number;
	/** The maximum number of requests that ran concurrently. */
	readonly mostRunning: number;
	readonly openConnections: number;
	readonly refusedConnections: number;
	/** The number of requests to the load endpoint. */
	readonly loadCalls: number;
	readonly isCold: boolean;
};
