/** Refuses requests that targets can't be expected to answer before the host shuts down. */

import type {Clock} from '@bilberryscale/core';
import {answeredShare} from '@bilberryscale/daemon/edge';
import type {Route} from '../plan/routing-plan.js';
import type {ServiceTimes} from './service-times.js';
import {deadlineResponseGraceMs} from './target-attempt.js';

/** The dependencies of a limit. */
export type ShutdownLimitOptions = {
	readonly clock: Clock;
	readonly serviceTimes: Pick<ServiceTimes, 'getMs' | 'getQuantileMs'>;
	/** Gets when open requests are ended because the host shuts down, on the monotonic clock, in milliseconds; infinite before. */
	readonly getShutdownMs: () => number;
	/** Gets until when a request may be sent because it will probably be answered in time, on the monotonic clock, in milliseconds; infinite before the shutdown. */
	readonly getEstimatesUntilMs: () => number;
};

/** A request that is about to be sent. */
export type LimitedRequest = {
	readonly route: Pick<Route, 'name' | 'targetLatencyMs'>;
	/** When the response must be complete, on the monotonic clock, in milliseconds. */
	readonly deadlineMs: number;
	/** Whether another host has forwarded it, which can send it to a third one at once. */
	readonly isForwarded?: boolean;
};

/** Compares the time that is left of a shutdown with the time that requests take. */
export class ShutdownLimit {
	readonly #options: ShutdownLimitOptions;

	/**
	 * @param options - The clock, the service times and the end of the shutdown.
	 */
	constructor(options: ShutdownLimitOptions) {
		this.#options = options;
	}

	/**
	 * Checks whether a request that is sent now could be ended by the shutdown before a target has answered.
	 * A request whose own deadline comes first could not. While load balancers may still send requests, it is enough that the
	 * request will probably be answered in time; later, other hosts get all new requests, and none is sent on an estimate.
	 * None that another host has forwarded ever is.
	 *
	 * @param request - The request.
	 * @param expectedMs - The expected latency at the target that it would be sent to, in milliseconds; that of a target at its typical speed by default.
	 * @returns Whether it is too late for the request.
	 */
	isTooLate(
		{route, deadlineMs, isForwarded = false}: LimitedRequest,
		expectedMs?: number,
	): boolean {
		const {clock, getShutdownMs, getEstimatesUntilMs} = this.#options;
		const nowMs = clock.monotonicMs();
		const shutdownMs = getShutdownMs();
		if (isForwarded || nowMs > getEstimatesUntilMs()) {
			return deadlineMs + deadlineResponseGraceMs > shutdownMs;
		}

		return (
			deadlineMs > shutdownMs &&
			nowMs + this.getExpectedMs(route, expectedMs) > shutdownMs
		);
	}

	/**
	 * Gets the time within which nearly all requests of a route are answered.
	 *
	 * @param route - The route.
	 * @param expectedMs - The expected latency at a target, in milliseconds; that of a target at its typical speed by default.
	 * @returns The time in milliseconds.
	 */
	getExpectedMs(
		{name, targetLatencyMs}: LimitedRequest['route'],
		expectedMs?: number,
	): number {
		const {serviceTimes} = this.#options;
		const slowdownFactor =
			expectedMs === undefined
				? 1
				: expectedMs / serviceTimes.getMs(name, targetLatencyMs);
		const boundMs = serviceTimes.getQuantileMs(
			name,
			targetLatencyMs,
			answeredShare,
		);
		return boundMs * slowdownFactor;
	}
}
