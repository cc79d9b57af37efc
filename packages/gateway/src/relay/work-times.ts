/** Learns how long the work of each route usually takes. */

import type {RouteName} from '../plan/routing-plan.js';

const newestWeight = 0.1;
/** Assumed part of the hoped-for latency before the first answer. */
const assumedShare = 0.4;

/** Keeps a moving average of service times by route. */
export class WorkTimes {
	readonly #averages = new Map<RouteName, number>();

	/**
	 * Adds the time of an answer.
	 *
	 * @param route - The route.
	 * @param durationMs - From the send to the whole answer, in milliseconds.
	 */
	add(route: RouteName, durationMs: number): void {
		const former = this.#averages.get(route) ?? durationMs;
		this.#averages.set(route, former + newestWeight * (durationMs - former));
	}

	/**
	 * Gets the usual time.
	 *
	 * @param route - The route.
	 * @param targetLatencyMs - The latency that callers hope for.
	 * @returns The time in milliseconds.
	 */
	getMs(route: RouteName, targetLatencyMs: number): number {
		return this.#averages.get(route) ?? targetLatencyMs * assumedShare;
	}
}
