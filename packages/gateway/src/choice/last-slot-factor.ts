/** Learns how much slower work is that begins on a target's last free slot. */

import type {ServiceName} from '@bilberryscale/core';

type Averages = {
	fullMs: number | undefined;
	freeMs: number | undefined;
	fullCount: number;
};

const newestWeight = 0.1;
/** Measured values replace the assumption after so many answers. */
const wantedCount = 6;
/** Assumed where targets have many slots; two slots rarely slow each other. */
const assumedFactor = 1.5;
const assumedFactorOfTwo = 1.1;
const fewSlots = 2;
const highestFactor = 3;

/** Keeps moving averages of service times, on the last slot and before it. */
export class LastSlotFactor {
	readonly #averages = new Map<ServiceName, Averages>();

	/**
	 * Adds the time of an answer.
	 *
	 * @param service - The service.
	 * @param isLastSlot - Whether the work began on the last free slot.
	 * @param relativeMs - The time over the usual one of its route and the target's slowness.
	 */
	add(service: ServiceName, isLastSlot: boolean, relativeMs: number): void {
		const averages = this.#averages.get(service) ?? {
			fullMs: undefined,
			freeMs: undefined,
			fullCount: 0,
		};
		this.#averages.set(service, averages);
		const key = isLastSlot ? 'fullMs' : 'freeMs';
		const former = averages[key] ?? relativeMs;
		averages[key] = former + newestWeight * (relativeMs - former);
		averages.fullCount += isLastSlot ? 1 : 0;
	}

	/**
	 * Gets the factor.
	 *
	 * @param service - The service.
	 * @param slots - How many requests its targets run at once.
	 * @returns How many times longer work takes, from 1 on.
	 */
	get(service: ServiceName, slots: number): number {
		const assumed = slots > fewSlots ? assumedFactor : assumedFactorOfTwo;
		const averages = this.#averages.get(service);
		if (averages?.fullMs === undefined || averages.freeMs === undefined) {
			return assumed;
		}

		const measured = averages.fullMs / averages.freeMs;
		const trust = Math.min(1, averages.fullCount / wantedCount);
		const factor = assumed + trust * (measured - assumed);
		return Math.min(highestFactor, Math.max(1, factor));
	}
}
