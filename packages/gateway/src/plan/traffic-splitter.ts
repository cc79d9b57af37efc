/** Splits the requests of a route between its services by weight. */

import type {RandomSource, ServiceName} from '@bilberryscale/core';
import type {Route, RouteName} from './routing-plan.js';

/** The fractional part of the golden ratio; its multiples modulo 1 are spread evenly over the unit interval. */
const goldenRatioFraction = 0.618_033_988_749_895;

/**
 * Picks services along a low-discrepancy sequence, so that even a few
 * requests are split by the weights. Each host starts the sequence at a random
 * position.
 */
export class TrafficSplitter {
	readonly #random: RandomSource;
	readonly #sequencePositions = new Map<RouteName, number>();

	/**
	 * @param random - The source of each sequence's start position.
	 */
	constructor(random: RandomSource) {
		this.#random = random;
	}

	/**
	 * Picks the service for the next request of a route.
	 *
	 * @param route - The route.
	 * @returns The service.
	 * @throws Error if the route has no services.
	 */
	pick({name, weightedServices}: Route): ServiceName {
		const last = weightedServices.at(-1);
		if (last === undefined) {
			throw new Error(`Route "${name}" has no services.`);
		}

		if (weightedServices.length === 1) {
			return last.service;
		}

		const position =
			((this.#sequencePositions.get(name) ?? this.#random()) +
				goldenRatioFraction) %
			1;
		this.#sequencePositions.set(name, position);
		const totalWeight = weightedServices.reduce(
			(sum, {weight}) => sum + weight,
			0,
		);
		let remainingWeight = position * totalWeight;
		for (const {service, weight} of weightedServices) {
			remainingWeight -= weight;
			if (remainingWeight < 0) {
				return service;
			}
		}

		return last.service;
	}
}
