/** Keeps the distribution of the service times of each route. */

import type {Clock} from '@bilberryscale/core';
import type {RouteName} from '../plan/routing-plan.js';

/** A histogram of whole numbers. */
export type Histogram = {
	/** The number of recorded values. */
	readonly totalCount: number;
	/** Records a value from 1 to {@link maxHistogramValue}. */
	recordValue(value: number): void;
	/** Gets the value at a percentile, from 0 to 100. */
	getValueAtPercentile(percentile: number): number;
	/** Drops all values. */
	reset(): void;
};

/** Makes an empty histogram. */
export type HistogramFactory = () => Histogram;

/** The clock and the histograms to use. */
export type RouteQuantilesOptions = {
	readonly clock: Clock;
	readonly makeHistogram: HistogramFactory;
};

/** The histograms of a route: each time goes into both, and one of them is emptied in turn. */
type RouteHistograms = {
	older: Histogram;
	newer: Histogram;
	rotatedAtMs: number;
};

/** The highest value that histograms record. */
export const maxHistogramValue = 600_000;
/** Histograms record tenths of a millisecond. */
const valuesPerMs = 10;
/** How long a histogram is filled before it is used, in milliseconds; it is used for as long again. */
const rotationMs = 30_000;
/** Number of times below which a quantile says little. */
const minCount = 30;
const percent = 100;

/** Two overlapping histograms for each route, so that old service times are dropped. */
export class RouteQuantiles {
	readonly #options: RouteQuantilesOptions;
	readonly #routes = new Map<RouteName, RouteHistograms>();

	/**
	 * @param options - The clock and the histograms to use.
	 */
	constructor(options: RouteQuantilesOptions) {
		this.#options = options;
	}

	/**
	 * Adds a service time.
	 *
	 * @param route - The route.
	 * @param serviceTimeMs - The time in milliseconds.
	 */
	add(route: RouteName, serviceTimeMs: number): void {
		const value = Math.round(serviceTimeMs * valuesPerMs);
		const clamped = Math.min(maxHistogramValue, Math.max(1, value));
		const {older, newer} = this.#getHistograms(route);
		older.recordValue(clamped);
		newer.recordValue(clamped);
	}

	/**
	 * Gets a quantile of the service times of the last 30 to 60 s.
	 *
	 * @param route - The route.
	 * @param quantile - The share of the times that are shorter, from 0 to 1.
	 * @returns The time in milliseconds; undefined while too few are known.
	 */
	getMs(route: RouteName, quantile: number): number | undefined {
		const {older} = this.#getHistograms(route);
		return older.totalCount < minCount
			? undefined
			: older.getValueAtPercentile(quantile * percent) / valuesPerMs;
	}

	#getHistograms(route: RouteName): RouteHistograms {
		const {clock, makeHistogram} = this.#options;
		const nowMs = clock.monotonicMs();
		const histograms = this.#routes.get(route) ?? {
			older: makeHistogram(),
			newer: makeHistogram(),
			rotatedAtMs: nowMs,
		};
		this.#routes.set(route, histograms);
		if (nowMs - histograms.rotatedAtMs >= rotationMs) {
			const {older, newer} = histograms;
			older.reset();
			histograms.older = newer;
			histograms.newer = older;
			histograms.rotatedAtMs = nowMs;
		}

		return histograms;
	}
}
