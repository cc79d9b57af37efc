/** The limit of requests to a target from its start until it is warm. */

import type {BootId} from '@bilberryscale/core';
import type {Target} from '@bilberryscale/bundle';
import {getHostShare, type FleetView} from '../fleet/fleet-view.js';

/**
 * The fleet's limit grows by one request per interval, so that hosts without
 * a share, which see no successes, get one as well.
 */
const growthIntervalMs = 2000;
/** The number of successes after which the limit grows by one request. */
const successesPerIncrement = 10;

/** One cold start of a target, with a fleet-wide limit that grows gradually. */
export class ColdStart {
	/** The boot id of the incarnation that has started, if it is known. */
	readonly bootId: BootId | undefined;
	readonly #target: Target;
	#startedAtMs: number;
	#successes = 0;

	/**
	 * @param target - The target.
	 * @param bootId - The boot id of the started incarnation, if it is known.
	 * @param nowMs - The monotonic time in milliseconds.
	 */
	constructor(target: Target, bootId: BootId | undefined, nowMs: number) {
		this.#target = target;
		this.bootId = bootId;
		this.#startedAtMs = nowMs;
	}

	/** Records a request that this incarnation of the target served. */
	recordSuccess(): void {
		this.#successes++;
	}

	/**
	 * Records a refusal, which resets the limit to the cold allowance.
	 *
	 * @param nowMs - The monotonic time in milliseconds.
	 */
	recordRefusal(nowMs: number): void {
		this.#successes = 0;
		this.#startedAtMs = nowMs;
	}

	/** Gets whether the successes have raised the limit to the target's slots. */
	get isWarm(): boolean {
		const {slots, coldAllowance} = this.#target;
		return coldAllowance + this.#getSuccessIncrements() >= slots;
	}

	/**
	 * Gets this host's share of the fleet's limit.
	 *
	 * @param fleet - The fleet that shares the limit.
	 * @param nowMs - The monotonic time in milliseconds.
	 * @returns The number of concurrent requests, which may be 0.
	 */
	getHostLimit(fleet: FleetView, nowMs: number): number {
		const {coldAllowance, id} = this.#target;
		const elapsedIntervals = Math.floor(
			(nowMs - this.#startedAtMs) / growthIntervalMs,
		);
		const fleetLimit =
			coldAllowance + this.#getSuccessIncrements() + elapsedIntervals;
		return getHostShare(fleetLimit, id, fleet);
	}

	/**
	 * Gets when the limit grows next by time alone.
	 *
	 * @param nowMs - The monotonic time in milliseconds.
	 * @returns The monotonic time in milliseconds.
	 */
	getNextIncrementMs(nowMs: number): number {
		const elapsedIntervals = Math.floor(
			(nowMs - this.#startedAtMs) / growthIntervalMs,
		);
		return this.#startedAtMs + (elapsedIntervals + 1) * growthIntervalMs;
	}

	#getSuccessIncrements(): number {
		return Math.floor(this.#successes / successesPerIncrement);
	}
}
