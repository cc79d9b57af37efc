/** What a target's stand-in can be told at run time. */

/** Random stalls that hold up every answer of a target. */
export type StallPattern = {
	/** How many stalls begin in a second, in the mean. */
	readonly perSecond: number;
	readonly shortestMs: number;
	readonly longestMs: number;
};

/** What a target says of its load. */
export type LoadReporting = 'true' | 'frozen' | 'zero' | 'none';

/** The network between a target and the hosts whose address starts so. */
export type SourceLink = {
	/** The start of the source's IP number, such as `127.3.2.`. */
	readonly source: string;
	/** Whether nothing comes through any more. */
	readonly isCut: boolean;
	/** The added one-way delay in milliseconds. */
	readonly delayMs: number;
};

/** How a target behaves from now on. */
export type TargetBehaviour = {
	/** Service times are multiplied by this. */
	readonly slowdown: number;
	/** The stalls; null for none. */
	readonly stalls: StallPattern | null;
	/** Whether every new request is refused as not run. */
	readonly isDraining: boolean;
	readonly loadReporting: LoadReporting;
	/** How old the load is that the load endpoint tells, in milliseconds. */
	readonly loadLagMs: number;
	/** The share of answers that break off in the middle of the body. */
	readonly brokenAnswerShare: number;
	/** How long a crashed target takes to listen again, in milliseconds. */
	readonly restartMs: number;
	readonly links: readonly SourceLink[];
};

/** The behaviour of a target that was told nothing. */
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

/** What a target can be told to do once. */
export type TargetAction =
	/** It turns cold; its boot id changes if `changesBootId`. */
	| {readonly kind: 'turn-cold'; readonly changesBootId: boolean}
	/** It ends at once and listens again, cold, after `restartMs`. */
	| {readonly kind: 'crash'}
	/** It ends at once and stays away until `start`. */
	| {readonly kind: 'kill'}
	| {readonly kind: 'start'}
	/** Connections that are open now carry nothing any more; new ones work. */
	| {readonly kind: 'silence-open-connections'};

/** What a target has counted since it was made. */
export type TargetCounters = {
	readonly begun: number;
	readonly ended: number;
	readonly refused: number;
	readonly withdrawn: number;
	readonly crashes: number;
	/** The most requests that ran at once. */
	readonly mostRunning: number;
	readonly openConnections: number;
	readonly refusedConnections: number;
	/** The calls to the load endpoint. */
	readonly loadCalls: number;
	readonly isCold: boolean;
};
