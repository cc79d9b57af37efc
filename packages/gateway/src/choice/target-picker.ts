/** Picks the target for a request by probing several targets just before it is sent. */

import {
	notRunFailure,
	type Clock,
	type DataCentreId,
	type Failure,
	type ServiceName,
} from '@bilberryscale/core';
import type {Connection} from '@bilberryscale/daemon/edge';
import {Err, Ok, type Result} from 'ts-results-es';
import type {TargetRegistry} from '../targets/target-registry.js';
import type {TargetState} from '../targets/target-state.js';
import {decideAdmission, type AdmissionDecision} from './admission.js';
import {
	getCostMs,
	getExpectedLatencyMs,
	type TargetCondition,
	type RequestProfile,
} from './target-cost.js';
import type {FullTargetBehaviour} from './full-target-behaviour.js';
import type {LastSlotFactor} from './last-slot-factor.js';
import {isEligible, type PickRequest} from './pick-request.js';
import {
	TargetSearch,
	type TargetSearchOptions,
	type TargetSide,
} from './target-search.js';
import {WaitQueue} from './wait-queue.js';

/** The dependencies of a picker. */
export type TargetPickerOptions = TargetSearchOptions & {
	readonly clock: Clock;
	readonly registry: TargetRegistry;
	readonly lastSlotFactor: LastSlotFactor;
	readonly fullTargets: FullTargetBehaviour;
	/** The data centre of this host. */
	readonly dataCentre: DataCentreId;
};

/** A picked target, a connection to it and figures for the log. */
export type PickedTarget = {
	readonly state: TargetState;
	readonly connection: Connection;
	/** The estimated number of requests that it held without this one. */
	readonly load: number;
	/** The expected latency, in milliseconds. */
	readonly expectedMs: number;
	/** The number of targets probed for the request. */
	readonly probedCount: number;
	/** How long picking took, in milliseconds. */
	readonly waitedMs: number;
};

type Candidate = {
	readonly state: TargetState;
	readonly costMs: number;
	readonly expectedMs: number;
};

/** Maximum age of a load report that a pick may rely on, in milliseconds. */
const maxReportAgeMs = 15;
/** Maximum age of the load report of a target with a limit, in milliseconds; it counts as idle without one, as it gets few requests. */
const maxLimitedReportAgeMs = 1000;
/** Maximum wait for a load report before targets are probed again, in milliseconds. */
const reprobeIntervalMs = 45;
/** Minimum time between two requests of this host to a cold target, in milliseconds. */
const coldSendIntervalMs = 1000;
/** Maximum idle time of a reused connection, in milliseconds; shorter for requests that cannot be repeated if it is lost. */
const maxIdleMs = {idempotent: 5000, nonIdempotent: 150};

/** Probes targets and picks the one with the lowest cost. */
export class TargetPicker {
	readonly #options: TargetPickerOptions;
	readonly #waitQueue: WaitQueue;

	/**
	 * @param options - The dependencies.
	 */
	constructor(options: TargetPickerOptions) {
		this.#options = options;
		this.#waitQueue = new WaitQueue(options.clock);
	}

	/**
	 * Picks a target, waiting for a better one while the latency target allows it.
	 *
	 * @param request - The request.
	 * @returns The target with a connection, or the reason why there is none.
	 */
	async pick(request: PickRequest): Promise<Result<PickedTarget, Failure>> {
		const {clock} = this.#options;
		const startedAtMs = clock.monotonicMs();
		const search = new TargetSearch(this.#options, request, (side) =>
			this.#hasAcceptableTarget(request, side),
		);
		await search.run();

		for (;;) {
			const best = this.#findBest(request);
			const decision = this.#decideAdmission(request, best);
			if (decision === 'take' && best !== undefined) {
				const connection = this.#acquireConnection(best.state, request);
				if (connection !== undefined) {
					const {state, expectedMs} = best;
					const {load} = state;
					state.availability.limit.addSend(clock.monotonicMs());
					state.addSend(clock.monotonicMs());
					const waitedMs = clock.monotonicMs() - startedAtMs;
					const {probedCount} = search;
					search.end(state);
					return Ok({
						state,
						connection,
						load,
						expectedMs,
						probedCount,
						waitedMs,
					});
				}
			}

			const isOutOfReach =
				request.endsOutOfReach &&
				best === undefined &&
				this.#options.registry.isOutOfReach(request.service);
			if (
				decision === 'refuse' ||
				isOutOfReach ||
				this.#isUnservable(request)
			) {
				search.end(undefined);
				return Err(this.#describeRefusal(request, best, search.probedCount));
			}

			const wasWoken = await this.#waitQueue.wait(
				request.service,
				reprobeIntervalMs,
			);
			if (!wasWoken) {
				await search.recheck();
			}
		}
	}

	/**
	 * Lets the first waiting request check the targets again; called after an
	 * attempt, whose response may have brought a new load report.
	 *
	 * @param service - The service of the target.
	 */
	wakeFirstWaiting(service: ServiceName): void {
		this.#waitQueue.wakeFirst(service);
	}

	/** Checks whether a target is known that the request would take without a wait. */
	#hasAcceptableTarget(request: PickRequest, side: TargetSide): boolean {
		const best = this.#findBest(request, side);
		return (
			best !== undefined && this.#decideAdmission(request, best) === 'take'
		);
	}

	#decideAdmission(
		{receivedAtMs, deadlineMs, targetLatencyMs, serviceTimeMs}: PickRequest,
		best: Candidate | undefined,
	): AdmissionDecision {
		const nowMs = this.#options.clock.monotonicMs();
		return decideAdmission({
			ageMs: nowMs - receivedAtMs,
			remainingMs: deadlineMs - nowMs,
			targetLatencyMs,
			serviceTimeMs,
			bestLatencyMs: best?.expectedMs ?? Number.POSITIVE_INFINITY,
			hasFreeSlot: best !== undefined && best.state.load < best.state.slots,
		});
	}

	/**
	 * Checks whether the caller has disconnected, its key was removed or no open target is eligible.
	 * A target with a limit is not if its next request would be late.
	 */
	#isUnservable(request: PickRequest): boolean {
		const {registry, clock} = this.#options;
		const {service, receivedAtMs, targetLatencyMs, serviceTimeMs} = request;
		const nowMs = clock.monotonicMs();
		const maxWaitMs = Math.max(
			0,
			receivedAtMs + targetLatencyMs - serviceTimeMs - nowMs,
		);
		return (
			request.signal.aborted ||
			request.isRevoked?.() === true ||
			registry
				.getOpenTargets(service)
				.every(
					({registration, availability}) =>
						!isEligible(request, registration.id) ||
						availability.limit.getWaitMs(nowMs) > maxWaitMs,
				)
		);
	}

	/**
	 * A second send to the same target opens a connection: on the connection of the
	 * first, a repeated response to it would count as the response to the second.
	 */
	#acquireConnection(
		state: TargetState,
		{isIdempotent, allowedTargets}: PickRequest,
	): Connection | undefined {
		if (allowedTargets !== undefined) {
			return state.pool.acquireNew();
		}

		return state.pool.acquire(
			isIdempotent ? maxIdleMs.idempotent : maxIdleMs.nonIdempotent,
		);
	}

	#findBest(
		request: PickRequest,
		side: TargetSide = 'any',
	): Candidate | undefined {
		const {registry, clock} = this.#options;
		const nowMs = clock.monotonicMs();
		let best: Candidate | undefined;
		for (const state of registry.getOpenTargets(request.service)) {
			const isOnSide =
				side === 'any' || this.#isNear(state) === (side === 'near');
			if (!isOnSide || !this.#isUsable(state, request, nowMs)) {
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
	 * Checks whether a target is eligible, has a recent load report and is not avoided.
	 * A target with a limit needs no report, as it gets no probes, but a part of the limit.
	 * A cold target must also be idle and gets requests only at intervals.
	 */
	#isUsable(state: TargetState, request: PickRequest, nowMs: number): boolean {
		const {limit} = state.availability;
		const isReady = limit.isInForce
			? limit.canSend(nowMs)
			: getReportAgeMs(state, nowMs) <= maxReportAgeMs;
		if (
			!isReady ||
			!isEligible(request, state.registration.id) ||
			this.#mayHang(state, request.service)
		) {
			return false;
		}

		return (
			state.avoidUntilMs <= nowMs &&
			(!state.isCold(nowMs) ||
				(state.load === 0 &&
					nowMs - state.lastColdSendAtMs >= coldSendIntervalMs))
		);
	}

	/** Checks whether a request might find a full queue at a target and get no response. */
	#mayHang(state: TargetState, service: ServiceName): boolean {
		const {fullTargets, hasCapacityManagement} = this.#options;
		if (!hasCapacityManagement(service)) {
			return false;
		}

		const {maxQueued} = fullTargets.get(service);
		return Math.max(state.load, state.outstanding) >= state.slots + maxQueued;
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

	#describeRefusal(
		{service}: PickRequest,
		best: Candidate | undefined,
		probedCount: number,
	): Failure {
		const {registry, clock} = this.#options;
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

		return best === undefined
			? notRunFailure(
					'no-target',
					`None of ${openCount} open targets of "${service}" may take the request; ${probedCount} were asked, and the last response of any target came ${Math.round(clock.monotonicMs() - registry.pathMonitor.lastContactAtMs)} ms ago.`,
				)
			: notRunFailure(
					'over-capacity',
					`The best of ${openCount} open targets of "${service}" holds ${best.state.load} requests and would take ${Math.round(best.expectedMs)} ms.`,
				);
	}
}

function getReportAgeMs({report}: TargetState, nowMs: number): number {
	return nowMs - (report?.receivedAtMs ?? Number.NEGATIVE_INFINITY);
}
