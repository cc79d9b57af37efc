/** Permits to send requests to cold targets. */

import type {Clock} from '@bilberryscale/core';
import {permitValidMs} from './warm-up-bound.js';

/** Permits one request to a cold target. */
export type WarmUpPermit = {
	/** When it was asked for, on the monotonic clock, in milliseconds. */
	readonly askedAtMs: number;
	/** The same by the wall clock. */
	readonly askedAt: Date;
};

/**
 * Makes a permit that is asked for now.
 *
 * @param clock - The clock.
 * @returns The permit.
 */
export function makeWarmUpPermit(clock: Clock): WarmUpPermit {
	return {askedAtMs: clock.monotonicMs(), askedAt: clock.now()};
}

/**
 * Checks whether a permit may still be used. The wall clock counts too, because
 * the monotonic clock does not count the time in which a machine is suspended.
 *
 * @param permit - The permit.
 * @param clock - The clock.
 * @returns Whether a request may be sent with it now.
 */
export function isUsable(
	{askedAtMs, askedAt}: WarmUpPermit,
	clock: Clock,
): boolean {
	return (
		clock.monotonicMs() - askedAtMs < permitValidMs &&
		Math.abs(clock.now().getTime() - askedAt.getTime()) < permitValidMs
	);
}
