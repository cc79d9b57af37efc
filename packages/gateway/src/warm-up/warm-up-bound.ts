/** Divides the request rate that a cold target bears among the hosts. */

/** How far the requests that all hosts send to a cold target in any second may exceed the rate that its service publishes. */
export type WarmUpBound = {
	/** The factor by which the rate may be exceeded; at least 1. */
	readonly overRatio: number;
	/** The number of requests by which the product may be exceeded. */
	readonly slack: number;
};

/** The limit of a cold target and the size of the fleet. */
export type WarmUpDivisionOptions = {
	/** The rate that the service publishes, in requests per second; 0 if it publishes none. */
	readonly perSecond: number;
	readonly bound: WarmUpBound;
	/** The number of hosts, with this one. */
	readonly hostCount: number;
};

/** How a limit is divided. */
export type WarmUpDivision = {
	/** The number of hosts that hold a part of the limit. */
	readonly holderCount: number;
	/** The rate at which each of them gives permits, in permits per second. */
	readonly partPerSecond: number;
};

/** The bound of a platform that names none: the published rate itself. */
export const defaultWarmUpBound: WarmUpBound = {overRatio: 1, slack: 0};
/** How long a permit may be used, in milliseconds, counted from when it was asked for. */
export const permitValidMs = 250;
/** Requests that are sent in one second have permits that were given in this time, in milliseconds. */
export const permitSpanMs = 1000 + permitValidMs;

/** Several, so that the loss of one leaves permits to be had; each may give one at once, so few. */
const maxHolderCount = 4;
/** The rate for targets whose services publish none. */
const defaultPerSecond = 1;
const msPerSecond = 1000;

/**
 * Divides a limit so that the requests of all hosts together stay within the bound in any second: each holder gives
 * one permit at once and its part per second, so that the permits given in `permitSpanMs` are no more than the bound.
 *
 * @param options - The limit and the size of the fleet.
 * @returns The number of holders and the part of each.
 */
export function divideWarmUpLimit({
	perSecond,
	bound,
	hostCount,
}: WarmUpDivisionOptions): WarmUpDivision {
	const spanSeconds = permitSpanMs / msPerSecond;
	const mostPerSecond = perSecond * bound.overRatio + bound.slack;
	const wantedPerSecond = perSecond > 0 ? perSecond : defaultPerSecond;
	const affordableCount = Math.floor(
		mostPerSecond - wantedPerSecond * spanSeconds,
	);
	const holderCount = Math.max(
		1,
		Math.min(hostCount, maxHolderCount, affordableCount),
	);
	// A single holder that gives a permit once in a span keeps any bound that allows a request at all.
	const allowedPerSecond = Math.max(
		(mostPerSecond - holderCount) / spanSeconds,
		holderCount === 1 ? 1 / spanSeconds : 0,
	);
	return {
		holderCount,
		partPerSecond: Math.min(wantedPerSecond, allowedPerSecond) / holderCount,
	};
}
