/** Holds the routing plan in force and lets requests wait for the first one. */

import type {Clock, ServiceName} from '@bilberryscale/core';
import type {AccountDirectory} from '../accounts/account-directory.js';
import type {RouteTable} from './route-table.js';
import type {CallerLimits} from './routing-plan.js';

/** The routing plan in force, with its routes indexed for lookup. */
export type ActivePlan = {
	readonly version: number;
	readonly routeTable: RouteTable;
	readonly limits: CallerLimits;
	/** The services for which requests of different priorities compete. */
	readonly prioritizedServices: ReadonlySet<ServiceName>;
	/** The client accounts; undefined if requests need no key. */
	readonly accounts?: AccountDirectory | undefined;
};

/**
 * How long requests may wait for the first plan, counted from the start of the
 * process, in milliseconds; a read of the store takes under 100.
 */
export const maxFirstPlanWaitMs = 300;

/** Holds the routing plan in force. */
export class PlanHolder {
	readonly #clock: Clock;
	readonly #startedAtMs: number;
	#plan: ActivePlan | undefined;
	#waiters: Array<() => void> = [];

	/**
	 * @param clock - The clock; the wait for the first plan is counted from now on.
	 */
	constructor(clock: Clock) {
		this.#clock = clock;
		this.#startedAtMs = clock.monotonicMs();
	}

	/** Gets the plan in force; undefined until the first one is set. */
	get plan(): ActivePlan | undefined {
		return this.#plan;
	}

	/**
	 * Puts a plan in force and resumes the requests that wait for one.
	 *
	 * @param plan - The plan.
	 */
	setPlan(plan: ActivePlan): void {
		this.#plan = plan;
		const waiters = this.#waiters;
		this.#waiters = [];
		for (const resolve of waiters) {
			resolve();
		}
	}

	/**
	 * Waits for the first plan if the process has just started; otherwise returns at once.
	 *
	 * @returns The plan in force; undefined if none was set in time.
	 */
	async waitForPlan(): Promise<ActivePlan | undefined> {
		const deadlineMs = this.#startedAtMs + maxFirstPlanWaitMs;
		const remainingMs = deadlineMs - this.#clock.monotonicMs();
		if (this.#plan === undefined && remainingMs > 0) {
			await new Promise<void>((resolve) => {
				this.#waiters.push(resolve);
				this.#clock.schedule(remainingMs, resolve);
			});
		}

		return this.#plan;
	}
}
