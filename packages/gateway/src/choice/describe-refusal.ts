/** Describes to callers and operators why no target was picked for a request. */

import {notRunFailure, type Clock, type Failure} from '@bilberryscale/core';
import type {ServiceCapacity} from '../capacity/service-capacity.js';
import type {TargetRegistry} from '../targets/target-registry.js';
import type {TargetState} from '../targets/target-state.js';
import type {PickRequest} from './pick-request.js';
import type {TargetCandidate} from './target-cost.js';

/** Where the state of a service is read. */
export type RefusalSources = {
	readonly clock: Clock;
	readonly registry: Pick<
		TargetRegistry,
		| 'getLimitWaitMs'
		| 'getOpenTargets'
		| 'getPauseMs'
		| 'isOutOfReach'
		| 'pathMonitor'
	>;
	readonly capacity: Pick<ServiceCapacity, 'isShort'>;
};

/** How the search for a target has ended. */
export type FailedSearch = {
	/** The best target, which is too slow; undefined if none may take the request. */
	readonly best: TargetCandidate | undefined;
	/** The number of targets probed for the request. */
	readonly probedCount: number;
	/** Whether the request has waited until it could no longer be on time. */
	readonly isLate: boolean;
};

/**
 * Gets the failure of a refused request. It is of the kind `over-capacity` if
 * targets respond but have no slot for the request.
 *
 * @param sources - Where the state of the service is read.
 * @param request - The request.
 * @param search - How the search for a target has ended.
 * @returns The failure, with the time until a retry can succeed where targets have named it.
 */
export function describeRefusal(
	{clock, registry, capacity}: RefusalSources,
	{service, priority}: PickRequest,
	{best, probedCount, isLate}: FailedSearch,
): Failure {
	const openCount = registry.getOpenTargets(service).length;
	const pauseMs = registry.getPauseMs(service);
	if (openCount === 0 && pauseMs !== undefined) {
		return notRunFailure(
			'no-target',
			`All targets of "${service}" have paused; the first accepts requests in ${Math.ceil(pauseMs)} ms.`,
			pauseMs,
		);
	}

	const limitWaitMs = registry.getLimitWaitMs(service);
	if (limitWaitMs !== undefined) {
		return notRunFailure(
			'over-capacity',
			`All ${openCount} open targets of "${service}" have named limits, which this host has used up.`,
			limitWaitMs,
		);
	}

	const warmUpWaitMs = getWarmUpWaitMs(
		registry.getOpenTargets(service),
		clock.monotonicMs(),
	);
	if (warmUpWaitMs > 0) {
		return notRunFailure(
			'over-capacity',
			`All ${openCount} open targets of "${service}" warm up and bear no more requests now.`,
			warmUpWaitMs,
		);
	}

	if (best !== undefined) {
		return notRunFailure(
			'over-capacity',
			`The best of ${openCount} open targets of "${service}" holds ${best.state.load} requests and would take ${Math.round(best.expectedMs)} ms.`,
		);
	}

	const isFull =
		(isLate && !registry.isOutOfReach(service)) ||
		capacity.isShort(service, priority);
	return isFull
		? notRunFailure(
				'over-capacity',
				`No slot of ${openCount} open targets of "${service}" became free in time for priority ${priority}.`,
			)
		: notRunFailure(
				'no-target',
				`None of ${openCount} open targets of "${service}" may take the request; ${probedCount} were asked, and the last response of any target came ${Math.round(clock.monotonicMs() - registry.pathMonitor.lastContactAtMs)} ms ago.`,
			);
}

/** Gets when the first target may get a request if all are cold and have no permit left, in milliseconds; 0 otherwise. */
function getWarmUpWaitMs(
	states: readonly TargetState[],
	nowMs: number,
): number {
	return states.length === 0
		? 0
		: Math.min(
				...states.map((state) =>
					state.isCold(nowMs) ? state.warmUp.getWaitMs() : 0,
				),
			);
}
