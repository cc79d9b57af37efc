/** Estimates the service time of each route. */

import type {RouteName} from '../plan/routing-plan.js';

/** Weight of the newest sample in the moving average. */
const smoothingFactor = 0.1;
/** Share of the latency target that is assumed before the first sample. */
const defaultLatencyShare = 0.4;

/** Keeps an exponential moving average of service times for each route. */
export class ServiceTimes {
	readonly #averages = new Map<RouteName, number>();

	/**
	 * Adds the service time of a response.
	 *
	 * @param route - The route.
	 * @param durationMs - The time from the start of the attempt to the complete response, in milliseconds.
	 */
	add(route: RouteName, durationMs: number): void {
		const previousMs = this.#averages.get(route) ?? durationMs;
		this.#averages.set(
			route,
			previousMs + smoothingFactor * (durationMs - previousMs),
		);
	}

	/**
	 * Gets the typical service time.
	 *
	 * @param route - The route.
	 * @param targetLatencyMs - The latency target of the route, in milliseconds.
	 * @returns The service time in milliseconds.
	 */
	getMs(route: RouteName, targetLatencyMs: number): number {
		return this.#averages.get(route) ?? targetLatencyMs * defaultLatencyShare;
	}
}
