/** Divides the tolerance of a rate limit among the causes by which hosts together exceed the limit. */

/** The limit of a client account and the version of the plan that it is from. */
export type AccountLimit = {
	readonly planVersion: number;
	readonly ratePerSecond: number;
	readonly burst: number;
};

/** By how much the requests of an account may exceed its limit in a sliding window. */
export type AllotmentBound = {
	/** The length of the window, in milliseconds. */
	readonly windowMs: number;
	/** The allowed excess as a share of the limit. */
	readonly overRatio: number;
	/** The allowed excess in requests, whatever the limit. */
	readonly slack: number;
};

/** The bound of settings that name none. */
export const defaultAllotmentBound: AllotmentBound = {
	windowMs: 5000,
	overRatio: 0.25,
	slack: 20,
};

/*
 * The shares add up to 0.98: a token of the owner may be used later than it was granted, while fallback owners and
 * hosts without any owner admit requests too.
 */
/** Share for tokens of the owner that are used after the end of the window in which they were granted. */
const leaseShare = 0.2;
/** Share of the first fallback owner. */
const firstFallbackShare = 0.44;
/** Each further fallback owner gets this share of the one before it. */
const fallbackDecay = 0.3;
/** Share of all hosts that reach no owner. */
const isolatedShare = 0.15;
/** Maximum time from a grant to the use of its tokens, in milliseconds; a lease lasts for 250 ms of requests. */
const maxLeaseMs = 300;
/** Lower bound on the validity of a grant, in milliseconds; a shorter one would expire on its way. */
const minLeaseMs = 50;
/** Validity of a grant of a fallback owner, in milliseconds; it has no share for late use. */
export const fallbackLeaseMs = 150;
/** Part of a fallback owner's tokens that it may grant at once. */
const fallbackBurstShare = 0.1;
const msPerSecond = 1000;

/**
 * Gets how many requests all hosts may admit beyond the limit in a window.
 *
 * @param limit - The limit of the account.
 * @param bound - The bound.
 * @returns The number of requests.
 */
export function getTolerance(
	{ratePerSecond, burst}: AccountLimit,
	{windowMs, overRatio, slack}: AllotmentBound,
): number {
	const perWindow = (ratePerSecond * windowMs) / msPerSecond + burst;
	return overRatio * perWindow + slack;
}

/**
 * Gets how long a token of the owner may be used.
 *
 * @param limit - The limit of the account.
 * @param bound - The bound.
 * @returns The time in milliseconds.
 */
export function getLeaseMs(limit: AccountLimit, bound: AllotmentBound): number {
	const allowedMs =
		(leaseShare * getTolerance(limit, bound) * msPerSecond) /
		limit.ratePerSecond;
	return Math.max(minLeaseMs, Math.min(maxLeaseMs, allowedMs));
}

/**
 * Gets what a fallback owner may grant.
 *
 * @param limit - The limit of the account.
 * @param bound - The bound.
 * @param position - How many hosts rank before it; 1 for the first fallback owner.
 * @returns The rate and the burst of its token bucket.
 */
export function getFallbackLimit(
	limit: AccountLimit,
	bound: AllotmentBound,
	position: number,
): Pick<AccountLimit, 'ratePerSecond' | 'burst'> {
	const perWindow =
		firstFallbackShare *
		fallbackDecay ** (position - 1) *
		getTolerance(limit, bound);
	return {
		ratePerSecond:
			((1 - fallbackBurstShare) * perWindow * msPerSecond) / bound.windowMs,
		burst: fallbackBurstShare * perWindow,
	};
}

/**
 * Gets how many requests a host that reaches no owner may admit in a window.
 *
 * @param limit - The limit of the account.
 * @param bound - The bound.
 * @param hostCount - The assumed number of hosts.
 * @returns The number of requests, mostly below 1.
 */
export function getIsolatedShare(
	limit: AccountLimit,
	bound: AllotmentBound,
	hostCount: number,
): number {
	return (isolatedShare * getTolerance(limit, bound)) / hostCount;
}

/**
 * Checks whether several owners at once, each of which grants the whole limit, stay within the bound.
 *
 * @param ownerCount - How many owners there may be.
 * @param limit - The limit of the account.
 * @param bound - The bound.
 * @returns Whether they do, which holds for small accounts.
 */
export function toleratesOwners(
	ownerCount: number,
	limit: AccountLimit,
	bound: AllotmentBound,
): boolean {
	const {ratePerSecond, burst} = limit;
	const perWindow = (ratePerSecond * bound.windowMs) / msPerSecond + burst;
	return (
		(ownerCount - 1) * perWindow <=
		(1 - leaseShare) * getTolerance(limit, bound)
	);
}
