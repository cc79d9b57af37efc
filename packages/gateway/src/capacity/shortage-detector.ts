/** Detects that a service has too little capacity for its requests. */

import type {Clock, ServiceName} from '@bilberryscale/core';
import type {TargetState} from '../targets/target-state.js';

/** The clock and the targets whose reports are read. */
export type ShortageDetectorOptions = {
	readonly clock: Clock;
	/** Gets the targets of a service that may receive new requests. */
	readonly getOpenTargets: (service: ServiceName) => readonly TargetState[];
};

/** How long a refusal or a wait counts as a shortage, in milliseconds. */
const shortageMs = 1000;
/** Wait for a target from which it counts as a shortage, in milliseconds; a round of probes takes less. */
const minShortageWaitMs = 45;
/** Share of busy slots from which a service counts as short of capacity. */
const maxUtilization = 0.75;
/** Maximum age of the load reports from which the share is computed, in milliseconds. */
const maxReportAgeMs = 5000;

/** Knows recent signs of a shortage, by service. */
export class ShortageDetector {
	readonly #options: ShortageDetectorOptions;
	readonly #shortAtMs = new Map<ServiceName, number>();

	/**
	 * @param options - The clock and the targets.
	 */
	constructor(options: ShortageDetectorOptions) {
		this.#options = options;
	}

	/**
	 * Records that a request was refused, by this host or by a target.
	 *
	 * @param service - The service.
	 */
	addRefusal(service: ServiceName): void {
		this.#shortAtMs.set(service, this.#options.clock.monotonicMs());
	}

	/**
	 * Records how long a request waited for a target.
	 *
	 * @param service - The service.
	 * @param waitedMs - The time in milliseconds.
	 */
	addWait(service: ServiceName, waitedMs: number): void {
		if (waitedMs >= minShortageWaitMs) {
			this.addRefusal(service);
		}
	}

	/**
	 * Checks whether a service is short of capacity.
	 *
	 * @param service - The service.
	 * @returns Whether a request was refused or waited a moment ago, or most slots of the targets
	 * that have reported lately are busy.
	 */
	isShort(service: ServiceName): boolean {
		const {clock, getOpenTargets} = this.#options;
		const nowMs = clock.monotonicMs();
		const shortAtMs = this.#shortAtMs.get(service) ?? Number.NEGATIVE_INFINITY;
		if (nowMs - shortAtMs < shortageMs) {
			return true;
		}

		let busySlots = 0;
		let allSlots = 0;
		for (const {report, load, slots} of getOpenTargets(service)) {
			if (
				report !== undefined &&
				nowMs - report.receivedAtMs <= maxReportAgeMs
			) {
				busySlots += Math.min(load, slots);
				allSlots += slots;
			}
		}

		return allSlots > 0 && busySlots / allSlots >= maxUtilization;
	}
}
