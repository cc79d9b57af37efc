/** What a target may carry from its start until it is warm. */

import type {BootId} from '@bilberryscale/core';
import type {Target} from '@bilberryscale/bundle';
import {getFleetShare, type FleetView} from '../fleet/fleet-view.js';

/** How long hosts without a share wait for the next request to be allowed. */
const stepMs = 2000;
/** How many requests must be served before one more at once is allowed. */
const successesPerStep = 10;

/** One start of a target: an allowance of the fleet that grows by successes. */
export class ColdStart {
	/** The life that has started. */
	readonly bootId: BootId | undefined;
	readonly #target: Target;
	#beganAtMs: number;
	#successes = 0;

	/**
	 * @param target - The target.
	 * @param bootId - The life that has started, if it is known.
	 * @param nowMs - The monotonic time in milliseconds.
	 */
	constructor(target: Target, bootId: BootId | undefined, nowMs: number) {
		this.#target = target;
		this.bootId = bootId;
		this.#beganAtMs = nowMs;
	}

	/** Takes in a request that the target served in this life. */
	addSuccess(): void {
		this.#successes++;
	}

	/**
	 * Takes in a refusal: the allowance starts again.
	 *
	 * @param nowMs - The monotonic time in milliseconds.
	 */
	addRefusal(nowMs: number): void {
		this.#successes = 0;
		this.#beganAtMs = nowMs;
	}

	/** Gets whether the successes show that the target is warm. */
	get isWarm(): boolean {
		const {slots, coldAllowance} = this.#target;
		return coldAllowance + this.#getEarned() >= slots;
	}

	/**
	 * Gets how many requests at once this host may have there.
	 *
	 * @param fleet - The fleet that shares the allowance.
	 * @param nowMs - The monotonic time in milliseconds.
	 * @returns The number, which may be 0.
	 */
	getShare(fleet: FleetView, nowMs: number): number {
		const {coldAllowance, id} = this.#target;
		const steps = Math.floor((nowMs - this.#beganAtMs) / stepMs);
		const allowed = coldAllowance + this.#getEarned() + steps;
		return getFleetShare(allowed, id, fleet);
	}

	/**
	 * Gets when the share should be looked at again.
	 *
	 * @param nowMs - The monotonic time in milliseconds.
	 * @returns The next step on the monotonic clock, in milliseconds.
	 */
	getNextStepMs(nowMs: number): number {
		const steps = Math.floor((nowMs - this.#beganAtMs) / stepMs);
		return this.#beganAtMs + (steps + 1) * stepMs;
	}

	#getEarned(): number {
		return Math.floor(this.#successes / successesPerStep);
	}
}
