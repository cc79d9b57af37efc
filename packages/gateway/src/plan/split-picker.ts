/** Divides the requests of routes over their services by weight. */

import type {RandomSource, ServiceName} from '@bilberryscale/core';
import type {Route, RouteName} from './routing-plan.js';

/** The golden ratio's fraction; multiples of it fill the unit interval evenly. */
const goldenFraction = 0.618_033_988_749_895;

/**
 * Picks services along a low-discrepancy sequence, so that the shares hold over
 * few requests too. Each host starts at a random place.
 */
export class SplitPicker {
	readonly #random: RandomSource;
	readonly #positions = new Map<RouteName, number>();

	/**
	 * @param random - Gives the start of each sequence.
	 */
	constructor(random: RandomSource) {
		this.#random = random;
	}

	/**
	 * Picks the service for the next request of a route.
	 *
	 * @param route - The route.
	 * @returns The service.
	 * @throws Error if the route has no parts.
	 */
	pick({name, parts}: Route): ServiceName {
		const last = parts.at(-1);
		if (last === undefined) {
			throw new Error(`The route "${name}" has no parts.`);
		}

		if (parts.length === 1) {
			return last.service;
		}

		const position =
			((this.#positions.get(name) ?? this.#random()) + goldenFraction) % 1;
		this.#positions.set(name, position);
		const total = parts.reduce((sum, {weight}) => sum + weight, 0);
		let rest = position * total;
		for (const {service, weight} of parts) {
			rest -= weight;
			if (rest < 0) {
				return service;
			}
		}

		return last.service;
	}
}
