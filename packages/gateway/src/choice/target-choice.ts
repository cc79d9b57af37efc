/** Chooses the best of the targets that are known. */

import type {Clock, DataCentreId, ServiceName} from '@bilberryscale/core';
import type {ServiceCapacity} from '../capacity/service-capacity.js';
import type {TargetRegistry} from '../targets/target-registry.js';
import type {TargetState} from '../targets/target-state.js';
import {getLatestStartMs} from './admission.js';
import type {FullTargetBehaviour} from './full-target-behaviour.js';
import type {LastSlotFactor} from './last-slot-factor.js';
import {maxReportAgeMs} from './pick-limits.js';
import {isEligible, type PickRequest} from './pick-request.js';
import {
	getCostMs,
	getExpectedLatencyMs,
	type TargetCandidate,
	type TargetCondition,
	type RequestProfile,
} from './target-cost.js';
import type {TargetSide} from './target-search.js';

/** The dependencies of a choice. */
export type TargetChoiceOptions = {
	readonly clock: Clock;
	readonly registry: Pick<TargetRegistry, 'getOpenTargets'>;
	readonly capacity: Pick<ServiceCapacity, 'canTake'>;
	readonly lastSlotFactor: LastSlotFactor;
	readonly fullTargets: FullTargetBehaviour;
	/** The data centre of this host. */
	readonly dataCentre: DataCentreId;
	/** Checks whether the plan calls for capacity management of a service. */
	readonly hasCapacityManagement: (service: ServiceName) => boolean;
};

/** Maximum age of the load report of a target with a limit, in milliseconds; it counts as idle without one, as it gets few requests. */
const maxLimitedReportAgeMs = 1000;

/** Compares the targets of a service by what a request would cost there. */
export class TargetChoice {
	readonly #options: TargetChoiceOptions;

	/**
	 * @param options - The dependencies.
	 */
	constructor(options: TargetChoiceOptions) {
		this.#options = options;
	}

	/**
	 * Finds the target with the lowest cost.
	 *
	 * @param request - The request.
	 * @param side - Which targets may be found.
	 * @param assumesPermits - Whether cold targets may be found for which this host has no permit.
	 * @returns The target; undefined if none may take the request.
	 */
	findBest(
		request: PickRequest,
		side: TargetSide = 'any',
		assumesPermits = false,
	): TargetCandidate | undefined {
		const {registry, clock, capacity} = this.#options;
		const nowMs = clock.monotonicMs();
		const mayContest =
			nowMs >= (request.receivedAtMs + getLatestStartMs(request)) / 2;
		const maxQueued = this.#getMaxQueued(request.service);
		let best: TargetCandidate | undefined;
		for (const state of registry.getOpenTargets(request.service)) {
			const isOnSide =
				side === 'any' || this.#isNear(state) === (side === 'near');
			if (
				!isOnSide ||
				!this.#isUsable(state, request, {nowMs, maxQueued}) ||
				(!assumesPermits && state.isCold(nowMs) && !state.warmUp.isOpen()) ||
				!capacity.canTake(request, state, mayContest)
			) {
				continue;
			}

			const condition = this.#getCondition(state, nowMs);
			const profile = this.#getProfile(state, request);
			const costMs = getCostMs(condition, profile);
			if (costMs < (best?.costMs ?? Number.POSITIVE_INFINITY)) {
				best = {
					state,
					costMs,
					expectedMs: getExpectedLatencyMs(condition, profile),
				};
			}
		}

		return best;
	}

	/**
	 * Checks whether a target is eligible, has a recent load report, is not avoided
	 * and holds so few requests that it responds to one more. A target with a limit
	 * needs no report, as it gets no probes, but a part of the limit. A cold target
	 * must have a free slot. An overdue request leaves the last free slot to requests
	 * that can still be on time.
	 */
	#isUsable(
		state: TargetState,
		request: PickRequest,
		{nowMs, maxQueued}: {readonly nowMs: number; readonly maxQueued: number},
	): boolean {
		const {limit} = state.availability;
		const isReady = limit.isInForce
			? limit.canSend(nowMs)
			: getReportAgeMs(state, nowMs) <= maxReportAgeMs;
		const held = Math.max(state.load, state.outstanding);
		if (
			!isReady ||
			!isEligible(request, state.registration.id) ||
			held >= state.slots + maxQueued ||
			(request.isOverdue && held > 0 && held >= state.slots - 1)
		) {
			return false;
		}

		return (
			state.avoidUntilMs <= nowMs &&
			(!state.isCold(nowMs) || held < state.slots)
		);
	}

	/** Gets how many requests beyond its slots a target may hold; with more, it might not respond to them. */
	#getMaxQueued(service: ServiceName): number {
		const {fullTargets, hasCapacityManagement} = this.#options;
		return hasCapacityManagement(service)
			? fullTargets.get(service).maxQueued
			: Number.POSITIVE_INFINITY;
	}

	#getCondition(state: TargetState, nowMs: number): TargetCondition {
		const hasCurrentLoad =
			!state.availability.limit.isInForce ||
			getReportAgeMs(state, nowMs) <= maxLimitedReportAgeMs;
		return {
			load: hasCurrentLoad ? state.load : 0,
			slots: state.slots,
			slowdownFactor: state.report?.slowdownFactor ?? 1,
			isHealthy: state.health?.isHealthy ?? true,
			isCold: state.isCold(nowMs),
			failureRate: state.getFailureRate(nowMs),
			isNear: this.#isNear(state),
		};
	}

	#isNear({registration}: TargetState): boolean {
		return registration.dataCentre === this.#options.dataCentre;
	}

	#getProfile(
		{slots}: TargetState,
		{service, serviceTimeMs, isIdempotent}: PickRequest,
	): RequestProfile {
		const lastSlotFactor = this.#options.lastSlotFactor.get(service, slots);
		return {serviceTimeMs, lastSlotFactor, isIdempotent};
	}
}

function getReportAgeMs({report}: TargetState, nowMs: number): number {
	return nowMs - (report?.receivedAtMs ?? Number.NEGATIVE_INFINITY);
}
