/** Estimates how much longer a request takes that starts on a target's last free slot. */

import type {ServiceName} from '@bilberryscale/core';

type Averages = {
	/** Average relative service time of requests that took the last slot. */
	fullMs: number | undefined;
	/** Average relative service time of requests that left a slot free. */
	freeMs: number | undefined;
	/** The number of requests that took the last slot. */
	fullCount: number;
};

/** Weight of the newest value in the moving averages. */
const smoothingFactor = 0.1;
/** Number of requests on the last slot after which the measured factor replaces the default entirely. */
const fullWeightCount = 6;
/** Default until enough requests were measured. */
const defaultFactor = 1.5;
/** Default for small targets, where requests rarely slow each other down. */
const smallTargetDefaultFactor = 1.1;
/** Up to this number of slots a target counts as small. */
const smallTargetSlots = 2;
const maxFactor = 3;

/** Keeps moving averages of service times on the last slot and on other slots, by service. */
export class LastSlotFactor {
	readonly #averages = new Map<ServiceName, Averages>();

	/**
	 * Adds the service time of an answered request.
	 *
	 * @param service - The service.
	 * @param isLastSlot - Whether the request took the last free slot.
	 * @param relativeTime - The service time divided by the typical one of its route and by the target's slowdown.
	 */
	add(service: ServiceName, isLastSlot: boolean, relativeTime: number): void {
		const averages = this.#averages.get(service) ?? {
			fullMs: undefined,
			freeMs: undefined,
			fullCount: 0,
		};
		this.#averages.set(service, averages);
		const key = isLastSlot ? 'fullMs' : 'freeMs';
		const previous = averages[key] ?? relativeTime;
		averages[key] = previous + smoothingFactor * (relativeTime - previous);
		averages.fullCount += isLastSlot ? 1 : 0;
	}

	/**
	 * Gets the factor by which the last slot lengthens service times.
	 *
	 * @param service - The service.
	 * @param slots - How many requests each of its targets runs at once.
	 * @returns The factor, at least 1.
	 */
	get(service: ServiceName, slots: number): number {
		const defaultValue =
			slots > smallTargetSlots ? defaultFactor : smallTargetDefaultFactor;
		const averages = this.#averages.get(service);
		if (averages?.fullMs === undefined || averages.freeMs === undefined) {
			return defaultValue;
		}

		const measured = averages.fullMs / averages.freeMs;
		const weight = Math.min(1, averages.fullCount / fullWeightCount);
		const factor = defaultValue + weight * (measured - defaultValue);
		return Math.min(maxFactor, Math.max(1, factor));
	}
}
