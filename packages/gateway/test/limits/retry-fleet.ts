/** Many hosts that share one retry budget: their requests and retries, without a network. */

import type {RetryBudgetLimit} from '../../src/limits/retry-budget.js';
import {
	ModelFleet,
	type Disruption,
	type ModelContext,
	type ModelHost,
	type ModelProcess,
} from './model-fleet.js';

/** What a host of the model needs from it. */
export type RetryHostContext = ModelContext & {
	readonly limit: RetryBudgetLimit;
};

/** The part of a host that decides about retries. */
export type RetryHost = ModelProcess & {
	/** Counts a request of a caller that this host sends to targets. */
	readonly addRequest: () => void;
	/** Handles a request of a caller that this host forwards, and tells whether it has counted it. */
	readonly forwardRequest: () => boolean;
	/** Handles a request that another host has forwarded. */
	readonly addForwardedRequest: (isCounted: boolean) => void;
	/** Tells whether a request that targets have refused may be sent again. */
	readonly takeRetry: () => Promise<boolean>;
};

/** A time in which targets refuse a share of what they get. */
export type Spell = {
	readonly atMs: number;
	readonly durationMs: number;
	readonly refusedShare: number;
};

/** A fleet and what happens to it. */
export type FleetPlan = {
	readonly hostCount: number;
	readonly requestsPerSecond: number;
	readonly limit: RetryBudgetLimit;
	readonly seed: number;
	readonly disruptions: readonly Disruption[];
	readonly spells: readonly Spell[];
};

type Host = ModelHost<RetryHost>;

const maxSends = 4;

/** Plays a fleet and records when requests were sent by callers and when retries reached the targets. */
export class RetryFleet {
	readonly requests: number[] = [];
	readonly retries: number[] = [];
	refusedCount = 0;
	readonly #plan: FleetPlan;
	readonly #fleet: ModelFleet<RetryHost>;

	constructor(
		plan: FleetPlan,
		startHost: (context: RetryHostContext) => RetryHost,
	) {
		this.#plan = plan;
		this.#fleet = new ModelFleet({
			...plan,
			startProcess: (context) => startHost({...context, limit: plan.limit}),
		});
	}

	/**
	 * Plays the fleet; times of the plan count from the first request.
	 *
	 * @param durationMs - How long requests come, in milliseconds.
	 */
	async run(durationMs: number): Promise<void> {
		await this.#fleet.run(durationMs, this.#plan.requestsPerSecond, () => {
			this.#sendRequest();
		});
	}

	/**
	 * Gets by how much the retries in any window exceed what the limit allows for the
	 * requests in that window, in the one before it or in the one half a window before it.
	 */
	getLargestExcess(): number {
		const {ratio, slack, windowMs} = this.#plan.limit;
		const retries = this.retries.toSorted((a, b) => a - b);
		const requests = this.requests.toSorted((a, b) => a - b);
		let excess = Number.NEGATIVE_INFINITY;
		for (const [index, startMs] of retries.entries()) {
			const most = Math.max(
				...[0, windowMs / 2, windowMs].map((shiftMs) =>
					countBetween(requests, startMs - shiftMs, windowMs),
				),
			);
			const used =
				countBefore(retries, startMs + windowMs) -
				Math.min(index, countBefore(retries, startMs));
			excess = Math.max(excess, used - ratio * most - slack);
		}

		return excess;
	}

	#sendRequest(): void {
		this.requests.push(this.#fleet.clock.monotonicMs());
		const host = this.#fleet.pickHost(({process}) => process !== undefined);
		host?.clock.run(() => {
			void this.#serve(host);
		});
	}

	/** Serves a request of a caller, through another host if this one reaches no target. */
	async #serve(host: Host): Promise<void> {
		if (host.hasPath) {
			host.process?.addRequest();
			await this.#sendToTargets(host);
			return;
		}

		const other = this.#fleet.pickHost(
			({process, hasPath, side}) =>
				process !== undefined && hasPath && side === host.side,
		);
		const isCounted = host.process?.forwardRequest() === true;
		other?.clock.run(() => {
			other.process?.addForwardedRequest(isCounted);
			void this.#sendToTargets(other);
		});
	}

	async #sendToTargets(host: Host): Promise<void> {
		const {clock, process} = host;
		for (let sends = 1; sends < maxSends && this.#isRefused(); sends++) {
			this.refusedCount++;
			if (process === undefined || !(await process.takeRetry())) {
				return;
			}

			const arrivesMs = clock.monotonicMs() + 5 * this.#fleet.random();
			await new Promise<void>((resolve) => {
				clock.schedule(arrivesMs - clock.monotonicMs(), resolve);
			});
			this.retries.push(arrivesMs);
		}
	}

	#isRefused(): boolean {
		const nowMs = this.#fleet.clock.monotonicMs() - this.#fleet.startsAtMs;
		const spell = this.#plan.spells.find(
			({atMs, durationMs}) => nowMs >= atMs && nowMs < atMs + durationMs,
		);
		return this.#fleet.random() < (spell?.refusedShare ?? 0.01);
	}
}

/** Counts the values of a sorted list in a span of time. */
function countBetween(
	times: readonly number[],
	startMs: number,
	durationMs: number,
): number {
	return countBefore(times, startMs + durationMs) - countBefore(times, startMs);
}

/** Counts the values of a sorted list that are less than a bound. */
function countBefore(times: readonly number[], boundMs: number): number {
	let low = 0;
	let high = times.length;
	while (low < high) {
		const middle = Math.floor((low + high) / 2);
		if (times[middle]! < boundMs) {
			low = middle + 1;
		} else {
			high = middle;
		}
	}

	return low;
}
