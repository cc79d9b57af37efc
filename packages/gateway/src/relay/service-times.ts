/** Estimates the service time of each route. */

import {RecentDurations} from '@bilberryscale/daemon/edge';
import type {RouteName} from '../plan/routing-plan.js';

/** Weight of the newest sample in the moving average. */
const smoothingFactor = 0.1;
/** Share of the latency target that is assumed before the first sample. */
const defaultLatencyShare = 0.4;

type RouteSamples = {
	averageMs: number;
	readonly recent: RecentDurations;
};

/** Keeps an exponential moving average of service times and the recent ones for each route. */
export class ServiceTimes {
	readonly #samples = new Map<RouteName, RouteSamples>();

	/**
	 * Adds the service time of a response.
	 *
	 * @param route - The route.
	 * @param durationMs - The time from the start of the attempt to the complete response, in milliseconds.
	 */
	add(route: RouteName, durationMs: number): void {
		const samples = this.#samples.get(route) ?? {
			averageMs: durationMs,
			recent: new RecentDurations(),
		};
		this.#samples.set(route, samples);
		samples.averageMs += smoothingFactor * (durationMs - samples.averageMs);
		samples.recent.add(durationMs);
	}

	/**
	 * Gets the typical service time.
	 *
	 * @param route - The route.
	 * @param targetLatencyMs - The latency target of the route, in milliseconds.
	 * @returns The service time in milliseconds.
	 */
	getMs(route: RouteName, targetLatencyMs: number): number {
		return (
			this.#samples.get(route)?.averageMs ??
			targetLatencyMs * defaultLatencyShare
		);
	}

	/**
	 * Gets the service time within which a share of the recent requests was answered.
	 *
	 * @param route - The route.
	 * @param targetLatencyMs - The latency target of the route, in milliseconds; assumed before the first sample.
	 * @param share - The share, from 0 to 1.
	 * @returns The service time in milliseconds.
	 */
	getQuantileMs(
		route: RouteName,
		targetLatencyMs: number,
		share: number,
	): number {
		return (
			this.#samples.get(route)?.recent.getQuantileMs(share) ?? targetLatencyMs
		);
	}
}
