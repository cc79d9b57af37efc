/** Decides when an idempotent request is sent to a second target, and to which. */

import type {RouteName} from '../plan/routing-plan.js';
import type {TargetState} from '../targets/target-state.js';
import type {RouteQuantiles} from './route-quantiles.js';

/** A request that was sent to its first target. */
export type HedgeCandidate = {
	readonly route: RouteName;
	/** Ratio of the time that is expected at the first target to the typical one of the route. */
	readonly slowdown: number;
	/** The typical service time of the route, in milliseconds. */
	readonly serviceTimeMs: number;
	/** The time left until the deadline at the start of the first attempt, in milliseconds. */
	readonly remainingMs: number;
};

/** The state of a request and its service when its hedge is due. */
export type HedgeContext = {
	readonly isShuttingDown: boolean;
	/** Whether the service has too little capacity for its requests. */
	readonly isShortOfCapacity: boolean;
	/** Whether a target may have crashed because of such a request. */
	readonly isCrashSuspect: boolean;
	/** Whether the key of the request is no longer valid. */
	readonly isKeyRemoved: boolean;
	/** How often targets may have run the request, the first attempt included. */
	readonly executions: number;
	readonly maxAttempts: number;
	/** Whether the hedge budget allows it. */
	readonly isWithinLimit: boolean;
	/** Whether the retry budget allows it. */
	readonly isWithinRetryBudget: boolean;
};

/** Why no hedge is sent. */
export type HedgeObstacle =
	| 'shutting-down'
	| 'short-of-capacity'
	| 'crash-suspect'
	| 'key-removed'
	| 'attempts-used'
	| 'limit'
	| 'retry-budget'
	| 'no-target';

/** The limit and the service times. */
export type HedgePolicyOptions = {
	/** Hedges allowed as a share of the requests of a service. */
	readonly limit: number;
	readonly quantiles: RouteQuantiles;
};

/** Below this share of shorter service times most hedges would lose. */
const minQuantile = 0.9;
/** Above this share the few times beyond it say little. */
const maxQuantile = 0.99;
/** Maximum age of the load report of a target that gets a hedge, in milliseconds; as for other picks. */
const maxReportAgeMs = 15;

/** Decides by the distribution of the service times of each route. */
export class HedgePolicy {
	readonly #quantiles: RouteQuantiles;
	readonly #quantile: number;

	/**
	 * @param options - The limit and the service times.
	 */
	constructor({limit, quantiles}: HedgePolicyOptions) {
		this.#quantiles = quantiles;
		this.#quantile = Math.min(maxQuantile, Math.max(minQuantile, 1 - limit));
	}

	/**
	 * Gets after which time a hedge is due: when the share of requests that take
	 * longer is what the limit allows, corrected for the speed of the first target.
	 *
	 * @param candidate - The request.
	 * @returns The time from the start of the first attempt, in milliseconds; undefined if
	 * too few service times are known or a hedge could not complete before the deadline.
	 */
	getDelayMs({
		route,
		slowdown,
		serviceTimeMs,
		remainingMs,
	}: HedgeCandidate): number | undefined {
		const usualMs = this.#quantiles.getMs(route, this.#quantile);
		if (usualMs === undefined) {
			return undefined;
		}

		const delayMs = usualMs * slowdown;
		return delayMs + serviceTimeMs <= remainingMs ? delayMs : undefined;
	}

	/**
	 * Adds the time of a complete response.
	 *
	 * @param candidate - The request.
	 * @param durationMs - The time from the start of the attempt to the response, in milliseconds.
	 */
	addAnswer(
		{route, slowdown}: Pick<HedgeCandidate, 'route' | 'slowdown'>,
		durationMs: number,
	): void {
		this.#quantiles.add(route, durationMs / slowdown);
	}

	/**
	 * Adds the time of an attempt that was cancelled because the other one was faster.
	 * It would have taken longer, so it counts if it has taken an unusual time already; without
	 * such times the distribution would lose its tail.
	 *
	 * @param candidate - The request.
	 * @param durationMs - The time from the start of the attempt to its end, in milliseconds.
	 */
	addCancelled(
		{route, slowdown}: Pick<HedgeCandidate, 'route' | 'slowdown'>,
		durationMs: number,
	): void {
		const usualMs = this.#quantiles.getMs(route, this.#quantile);
		if (usualMs !== undefined && durationMs / slowdown >= usualMs) {
			this.#quantiles.add(route, durationMs / slowdown);
		}
	}
}

/**
 * Gets the reason why a hedge that is due is not sent.
 *
 * @param context - The state of the request and its service.
 * @returns The reason; undefined if it may be sent to a suitable target.
 */
export function getHedgeObstacle(
	context: HedgeContext,
): HedgeObstacle | undefined {
	if (context.isShuttingDown) {
		return 'shutting-down';
	}

	if (context.isShortOfCapacity) {
		return 'short-of-capacity';
	}

	if (context.isCrashSuspect) {
		return 'crash-suspect';
	}

	if (context.isKeyRemoved) {
		return 'key-removed';
	}

	if (context.executions + 1 > context.maxAttempts) {
		return 'attempts-used';
	}

	if (!context.isWithinLimit) {
		return 'limit';
	}

	return context.isWithinRetryBudget ? undefined : 'retry-budget';
}

/**
 * Checks whether a target may get a hedge: it has just reported a free slot and is
 * neither cold, leaving, paused, limited, avoided nor hanging.
 *
 * @param state - The target.
 * @param nowMs - The monotonic time in milliseconds.
 * @returns Whether it may.
 */
export function isSuitableForHedge(state: TargetState, nowMs: number): boolean {
	const {availability, report, health, load, slots} = state;
	const isResponsive =
		!state.isOutOfReach &&
		state.avoidUntilMs <= nowMs &&
		health?.isHealthy !== false;
	const hasFreshReport =
		report !== undefined && nowMs - report.receivedAtMs <= maxReportAgeMs;
	return (
		hasFreshReport &&
		load < slots &&
		isResponsive &&
		!state.isCold(nowMs) &&
		availability.isAvailable(nowMs) &&
		!availability.limit.isInForce
	);
}
