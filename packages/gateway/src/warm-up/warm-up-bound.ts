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
export const permitValidMs = 150;
/** Requests that are sent in one second have permits that were given in this time, in milliseconds. */
export const permitSpanMs = 1000 + permitValidMs;

/** Several, so that the loss of one leaves permits to be had; each may give one at once, so few. */
const maxHolderCount = 3;
/** A cut may leave each side with holders of its own if hosts on both sides have started since. */
const sideCount = 2;
/** Requests that may be written while hosts learn that a target has turned cold. */
const lateRequestCount = 1;
/** The rate for targets whose services publish none. */
const defaultPerSecond = 1;
const msPerSecond = 1000;
const roundingReserve = 0.01;

/**
 * Divides a limit so that the requests of all hosts together stay within the bound in any second, even if two sets of
 * hosts take themselves for all holders: in `permitSpanMs`, each holder gives one permit and those by which its part has
 * refilled the bucket. Fewer hosts hold a part if more would exceed the bound; if one would, it holds less than the rate.
 *
 * @param options - The limit and the size of the fleet.
 * @returns The number of holders and the part of each.
 */
export function divideWarmUpLimit({
	perSecond,
	bound,
	hostCount,
}: WarmUpDivisionOptions): WarmUpDivision {
	const mostPerSecond = perSecond * bound.overRatio + bound.slack;
	const mostPerSide = (mostPerSecond - lateRequestCount) / sideCount;
	const wantedPerSecond = perSecond > 0 ? perSecond : defaultPerSecond;
	for (
		let holderCount = Math.min(hostCount, maxHolderCount);
		holderCount > 0;
		holderCount--
	) {
		const partPerSecond = wantedPerSecond / holderCount;
		if (holderCount * getMostPermits(partPerSecond) <= mostPerSide) {
			return {holderCount, partPerSecond};
		}
	}

	// A little less, since a bucket that is full again at the end of the span gives one more.
	const mostOfOne = Math.max(1, Math.floor(mostPerSecond / sideCount));
	const partPerSecond =
		((mostOfOne - roundingReserve) * msPerSecond) / permitSpanMs;
	return {holderCount: 1, partPerSecond};
}

/** Gets the most permits that a holder gives within `permitSpanMs`. */
function getMostPermits(partPerSecond: number): number {
	return 1 + Math.floor((partPerSecond * permitSpanMs) / msPerSecond);
}
