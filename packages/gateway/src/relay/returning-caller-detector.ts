/** Detects callers that retry after a refusal, by their shorter remaining timeout. */

import type {RouteName} from '../plan/routing-plan.js';

/** Callers whose timeout is below this share of the route's maximum are taken for returning ones. */
const returningThreshold = 0.985;

/** Keeps the longest timeout that callers of each route sent. */
export class ReturningCallerDetector {
	readonly #maxTimeoutsMs = new Map<RouteName, number>();

	/**
	 * Checks whether a caller probably retries a refused request.
	 *
	 * @param route - The route of its request.
	 * @param timeoutMs - The timeout that the caller sent, in milliseconds; undefined without one.
	 * @returns Whether the timeout is shorter than the longest one of the route.
	 */
	isReturning(route: RouteName, timeoutMs: number | undefined): boolean {
		if (timeoutMs === undefined) {
			return false;
		}

		const maxTimeoutMs = Math.max(
			timeoutMs,
			this.#maxTimeoutsMs.get(route) ?? 0,
		);
		this.#maxTimeoutsMs.set(route, maxTimeoutMs);
		return timeoutMs < maxTimeoutMs * returningThreshold;
	}
}
