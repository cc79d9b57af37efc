/** The plan in force, and the wait for the first one. */

import type {Clock} from '@bilberryscale/core';
import type {RouteTable} from './route-table.js';
import type {CallerLimits} from './routing-plan.js';

/** The plan in force, prepared for requests. */
export type PlanInForce = {
	readonly version: number;
	readonly table: RouteTable;
	readonly limits: CallerLimits;
};

/** How long the first requests after a start may wait for a plan, in milliseconds: a read of the store takes under 100. */
export const firstPlanWaitMs = 300;

/** Holds the plan in force. */
export class PlanHolder {
	readonly #clock: Clock;
	readonly #startedAtMs: number;
	#plan: PlanInForce | undefined;
	#waiting: Array<() => void> = [];

	/**
	 * @param clock - The clock; the holder counts its time from now on.
	 */
	constructor(clock: Clock) {
		this.#clock = clock;
		this.#startedAtMs = clock.monotonicMs();
	}

	/** Gets the plan in force; undefined before the first. */
	get plan(): PlanInForce | undefined {
		return this.#plan;
	}

	/**
	 * Puts a plan in force.
	 *
	 * @param plan - The plan.
	 */
	setPlan(plan: PlanInForce): void {
		this.#plan = plan;
		const waiting = this.#waiting;
		this.#waiting = [];
		for (const resolve of waiting) {
			resolve();
		}
	}

	/**
	 * Waits for the first plan, if the process has only just started.
	 *
	 * @returns The plan in force; undefined if none came in time.
	 */
	async waitForPlan(): Promise<PlanInForce | undefined> {
		const endMs = this.#startedAtMs + firstPlanWaitMs;
		const leftMs = endMs - this.#clock.monotonicMs();
		if (this.#plan === undefined && leftMs > 0) {
			await new Promise<void>((resolve) => {
				this.#waiting.push(resolve);
				this.#clock.schedule(leftMs, resolve);
			});
		}

		return this.#plan;
	}
}
