/** Picks the target for a request by probing several targets just before it is sent. */

import type {Clock, Failure, ServiceName, TargetId} from '@bilberryscale/core';
import {makeShutdownFailure, type Connection} from '@bilberryscale/daemon/edge';
import {Err, Ok, type Result} from 'ts-results-es';
import type {GatewayMetrics} from '../records/gateway-metrics.js';
import type {TargetState} from '../targets/target-state.js';
import type {WarmUpPermit} from '../warm-up/warm-up-permit.js';
import {
	PriorityWaitQueue,
	type QueuedRequest,
	type WaitEnd,
} from '../capacity/priority-wait-queue.js';
import type {ServiceCapacity} from '../capacity/service-capacity.js';
import {
	decideAdmission,
	getLatestStartMs,
	type AdmissionDecision,
} from './admission.js';
import {describeRefusal, type RefusalSources} from './describe-refusal.js';
import {TargetChoice, type TargetChoiceOptions} from './target-choice.js';
import type {TargetCandidate} from './target-cost.js';
import {maxIdleMs} from './pick-limits.js';
import {isEligible, type PickRequest} from './pick-request.js';
import {
	TargetSearch,
	type TargetSearchOptions,
	type TargetSide,
} from './target-search.js';

/** The dependencies of a picker. */
export type TargetPickerOptions = TargetChoiceOptions &
	TargetSearchOptions & {
		readonly clock: Clock;
		readonly registry: RefusalSources['registry'];
		readonly capacity: Pick<
			ServiceCapacity,
			'addRequest' | 'canTake' | 'isAnyRankShort' | 'isPrioritized' | 'isShort'
		>;
		readonly metrics: Pick<
			GatewayMetrics,
			'recordRankRefusal' | 'recordWaitingCount'
		>;
	};

/** A picked target, a connection to it and figures for the log. */
export type PickedTarget = {
	readonly state: TargetState;
	readonly connection: Connection;
	/** Permits the request if the target is cold; undefined if it was warm. */
	readonly warmUpPermit: WarmUpPermit | undefined;
	/** The estimated number of requests that it held without this one. */
	readonly load: number;
	/** The expected latency, in milliseconds. */
	readonly expectedMs: number;
	/** The number of targets probed for the request. */
	readonly probedCount: number;
	/** How long picking took, in milliseconds. */
	readonly waitedMs: number;
};

/** Maximum number of preceding requests that a request lets check the targets before it takes one. */
const maxWokenPreceding = 4;
/** Time for preceding requests to take a target, in milliseconds. */
const precedenceMs = 1;
/** Maximum wait for a load report before targets are probed again, in milliseconds. */
const reprobeIntervalMs = 45;
/** The same for requests that leave slots free in a shortage: the response to the last request at a slot wakes the next one. */
const shortReprobeIntervalMs = 300;

/** Probes targets and picks the one with the lowest cost. */
export class TargetPicker {
	readonly #options: TargetPickerOptions;
	readonly #choice: TargetChoice;
	readonly #waitQueue: PriorityWaitQueue;

	/**
	 * @param options - The dependencies.
	 */
	constructor(options: TargetPickerOptions) {
		this.#options = options;
		this.#choice = new TargetChoice(options);
		this.#waitQueue = new PriorityWaitQueue({
			clock: options.clock,
			onWaitingCount(service, rank, count) {
				options.metrics.recordWaitingCount(service, rank, count);
			},
		});
	}

	/**
	 * Picks a target, waiting for a better one while the latency target allows it.
	 *
	 * @param request - The request.
	 * @returns The target with a connection, or the reason why there is none.
	 */
	async pick(request: PickRequest): Promise<Result<PickedTarget, Failure>> {
		const {capacity, metrics} = this.#options;
		const {service, priority, serviceTimeMs, triedTargets} = request;
		if (triedTargets.size === 0) {
			capacity.addRequest(service, priority, serviceTimeMs);
		}

		const queued = this.#makeQueuedRequest(request);
		this.#waitQueue.open(queued);
		let isServed = false;
		try {
			const result = await this.#pickInTurn(request, queued);
			isServed = result.isOk();
			return result;
		} finally {
			this.#waitQueue.close(queued, isServed);
			if (!isServed) {
				metrics.recordRankRefusal(service, priority);
			}
		}
	}

	async #pickInTurn(
		request: PickRequest,
		queued: QueuedRequest,
	): Promise<Result<PickedTarget, Failure>> {
		const {clock} = this.#options;
		const startedAtMs = clock.monotonicMs();
		const search = new TargetSearch(this.#options, request, (side) =>
			this.#hasAcceptableTarget(request, side),
		);
		if (!this.#mustQueue(queued)) {
			await search.run();
		}

		let lastEnd: WaitEnd | undefined;
		let hasYielded = false;
		for (;;) {
			const best = this.#choice.findBest(request);
			this.#requestPermit(request, best);
			const decision = this.#decideAdmission(request, best);
			if (
				decision === 'take' &&
				!hasYielded &&
				this.#waitQueue.wakePreceding(queued, maxWokenPreceding) > 0
			) {
				hasYielded = true;
				lastEnd = await this.#waitQueue.wait(queued, precedenceMs);
				continue;
			}

			if (
				decision === 'take' &&
				best !== undefined &&
				!request.signal.aborted &&
				!isTooLate(request, best)
			) {
				const picked = this.#take(best, request, search, startedAtMs);
				if (picked !== undefined) {
					return Ok(picked);
				}
			}

			const isTooLateForAll =
				isTooLate(request, undefined) && isTooLate(request, best);
			if (
				decision === 'refuse' ||
				lastEnd === 'late' ||
				isTooLateForAll ||
				this.#isUnservable(request, best)
			) {
				search.end(undefined);
				if (
					lastEnd === 'woken' &&
					this.#options.capacity.isPrioritized(request.service)
				) {
					// The free slot for which it was woken may suit the next one. Without
					// priorities, the next one might be refused at once, by reports that are too old.
					this.#waitQueue.wakeFirst(request.service, undefined);
				}

				return Err(
					isTooLateForAll
						? makeShutdownFailure()
						: describeRefusal(this.#options, request, {
								best,
								probedCount: search.probedCount,
								isLate: lastEnd === 'late',
							}),
				);
			}

			hasYielded = false;
			lastEnd = await this.#waitQueue.wait(
				queued,
				this.#getRecheckIntervalMs(request),
			);
			if (this.#canRecheck(queued, lastEnd)) {
				await search.recheck();
			}
		}
	}

	/** Takes the best target; undefined if no connection to it is available. */
	#take(
		{state, expectedMs}: TargetCandidate,
		request: PickRequest,
		search: TargetSearch,
		startedAtMs: number,
	): PickedTarget | undefined {
		const connection = this.#acquireConnection(state, request);
		if (connection === undefined) {
			return undefined;
		}

		const {load} = state;
		const nowMs = this.#options.clock.monotonicMs();
		const warmUpPermit = state.isCold(nowMs) ? state.warmUp.take() : undefined;
		state.availability.limit.addSend(nowMs);
		state.addSend();
		const {probedCount} = search;
		search.end(state);
		const waitedMs = nowMs - startedAtMs;
		return {
			state,
			connection,
			warmUpPermit,
			load,
			expectedMs,
			probedCount,
			waitedMs,
		};
	}

	/**
	 * Lets the first waiting request that is eligible for a target check the targets
	 * again; called after an attempt, whose response may have brought a new load report.
	 *
	 * @param service - The service of the target.
	 * @param target - The target.
	 */
	wakeFirstWaiting(service: ServiceName, target: TargetId): void {
		this.#waitQueue.wakeFirst(service, target);
	}

	/**
	 * Without different priorities, requests wait in the order of arrival until the
	 * next check refuses them.
	 */
	#makeQueuedRequest(request: PickRequest): QueuedRequest {
		const {service, priority, account, isReturning, receivedAtMs} = request;
		const isPrioritized = this.#options.capacity.isPrioritized(service);
		return {
			service,
			rank: priority,
			account,
			isReturning: isPrioritized && isReturning,
			position: isPrioritized ? receivedAtMs : 0,
			usefulUntilMs: isPrioritized
				? getLatestStartMs(request)
				: Number.POSITIVE_INFINITY,
			isEligible: (target) => isEligible(request, target),
		};
	}

	/**
	 * Checks whether a request waits behind others without probes of its own. In a
	 * shortage, probes would find slots that the host of the last request there
	 * gives to its next one, and two requests would be sent to one slot.
	 */
	#mustQueue(queued: QueuedRequest): boolean {
		const {service, rank} = queued;
		return (
			this.#options.capacity.isShort(service, rank) &&
			this.#waitQueue.hasPreceding(queued)
		);
	}

	/**
	 * Checks whether targets are probed again after a wait. A request that can no
	 * longer be on time may still find a free slot, which in a shortage others need more.
	 */
	#canRecheck(queued: QueuedRequest, lastEnd: WaitEnd): boolean {
		return lastEnd === 'late'
			? !this.#options.capacity.isAnyRankShort(queued.service)
			: lastEnd === 'recheck' && !this.#mustQueue(queued);
	}

	#getRecheckIntervalMs({service, priority}: PickRequest): number {
		return this.#options.capacity.isShort(service, priority)
			? shortReprobeIntervalMs
			: reprobeIntervalMs;
	}

	/** Checks whether a target is known that the request would take without a wait. */
	#hasAcceptableTarget(request: PickRequest, side: TargetSide): boolean {
		const best = this.#choice.findBest(request, side);
		return (
			best !== undefined && this.#decideAdmission(request, best) === 'take'
		);
	}

	#decideAdmission(
		request: PickRequest,
		best: TargetCandidate | undefined,
	): AdmissionDecision {
		const {receivedAtMs, deadlineMs, targetLatencyMs, serviceTimeMs} = request;
		const {clock, capacity} = this.#options;
		const nowMs = clock.monotonicMs();
		// The queue ends a wait at the latest useful time, so a request may wait until then.
		const recheckMs = capacity.isPrioritized(request.service)
			? Math.max(
					0,
					Math.min(reprobeIntervalMs, getLatestStartMs(request) - nowMs),
				)
			: undefined;
		return decideAdmission({
			ageMs: nowMs - receivedAtMs,
			remainingMs: deadlineMs - nowMs,
			targetLatencyMs,
			serviceTimeMs,
			bestLatencyMs: best?.expectedMs ?? Number.POSITIVE_INFINITY,
			hasFreeSlot: best !== undefined && best.state.load < best.state.slots,
			isShort: capacity.isShort(request.service, request.priority),
			...(recheckMs !== undefined && {recheckMs}),
		});
	}

	/**
	 * Checks whether the caller has disconnected, its key was removed, this host
	 * reaches no target and another one may, or no open target is eligible.
	 * A target with a limit, or a cold one, is not if its next request would be late.
	 */
	#isUnservable(
		request: PickRequest,
		best: TargetCandidate | undefined,
	): boolean {
		const {registry, clock} = this.#options;
		const {service, receivedAtMs, targetLatencyMs, serviceTimeMs} = request;
		if (
			request.endsOutOfReach &&
			best === undefined &&
			registry.isOutOfReach(service)
		) {
			return true;
		}

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
					(state) =>
						!isEligible(request, state.registration.id) ||
						state.availability.limit.getWaitMs(nowMs) > maxWaitMs ||
						(state.isCold(nowMs) && state.warmUp.getWaitMs() > maxWaitMs),
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

	/** Asks for a permit if the request would go to a cold target with one now; later, the permit might be too old. */
	#requestPermit(
		request: PickRequest,
		best: TargetCandidate | undefined,
	): void {
		const {registry, clock} = this.#options;
		const nowMs = clock.monotonicMs();
		const hasClosedTarget = registry
			.getOpenTargets(request.service)
			.some((state) => state.isCold(nowMs) && !state.warmUp.isOpen());
		if (!hasClosedTarget) {
			return;
		}

		const wanted = this.#choice.findBest(request, 'any', true);
		if (
			wanted !== undefined &&
			wanted.state !== best?.state &&
			this.#decideAdmission(request, wanted) === 'take'
		) {
			const {state} = wanted;
			state.warmUp.request(() => {
				this.wakeFirstWaiting(request.service, state.registration.id);
			});
		}
	}
}

/** Checks whether the host shuts down before a target could answer; undefined stands for one that takes the typical time. */
function isTooLate(
	{isTooLate: check}: PickRequest,
	target: TargetCandidate | undefined,
): boolean {
	return check?.(target?.expectedMs) === true;
}
