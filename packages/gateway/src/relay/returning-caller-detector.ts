/** Detects callers that retry after a refusal, by their shorter remaining timeout. */

import type {RouteName} from '../plan/routing-plan.js';

/** Callers whose timeout is below this share of the route's maximum are taken for returning ones. */
const returningThreshold = 0.985;

/** Keeps the longest timeout that callers of each route sent. */
export class ReturningCallerDetector {
	readonly #maxTimeoutsMs = new Map<RouteName, number>();

	/**
	 * Estimates since when a caller has been trying, from the part of its timeout that has passed.
	 *
	 * @param route - The route of its request.
	 * @param timeoutMs - The timeout that the caller sent, in milliseconds; undefined without one.
	 * @returns The time since its first attempt, in milliseconds; 0 if it probably makes that now.
	 */
	getElapsedMs(route: RouteName, timeoutMs: number | undefined): number {
		if (timeoutMs === undefined) {
			return 0;
		}

		const maxTimeoutMs = Math.max(
			timeoutMs,
			this.#maxTimeoutsMs.get(route) ?? 0,
		);
		this.#maxTimeoutsMs.set(route, maxTimeoutMs);
		return timeoutMs < maxTimeoutMs * returningThreshold
			? maxTimeoutMs - timeoutMs
			: 0;
	}
}
