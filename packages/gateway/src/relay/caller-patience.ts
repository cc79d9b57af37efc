/** Learns how long callers wait, to tell those that come back after a refusal. */

import type {RouteName} from '../plan/routing-plan.js';

/** A caller that has less left than this part of the usual time has tried before. */
const returningShare = 0.985;

/** Keeps the longest time that callers of a route have. */
export class CallerPatience {
	readonly #longest = new Map<RouteName, number>();

	/**
	 * Tells whether a caller seems to come back.
	 *
	 * @param route - The route of its request.
	 * @param givenMs - How long it says that it waits; undefined if it does not say.
	 * @returns Whether others of the route had longer.
	 */
	isReturning(route: RouteName, givenMs: number | undefined): boolean {
		if (givenMs === undefined) {
			return false;
		}

		const longestMs = Math.max(givenMs, this.#longest.get(route) ?? 0);
		this.#longest.set(route, longestMs);
		return givenMs < longestMs * returningShare;
	}
}
