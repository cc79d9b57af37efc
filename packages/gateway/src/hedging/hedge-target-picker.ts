/** Picks the second target for a request. */

import type {Clock, DataCentreId} from '@bilberryscale/core';
import type {LastSlotFactor} from '../choice/last-slot-factor.js';
import {maxIdleMs} from '../choice/pick-limits.js';
import {isEligible, type PickRequest} from '../choice/pick-request.js';
import {
	getCostMs,
	getExpectedLatencyMs,
	type RequestProfile,
	type TargetCandidate,
	type TargetCondition,
} from '../choice/target-cost.js';
import type {PickedTarget} from '../choice/target-picker.js';
import type {TargetProber} from '../choice/target-prober.js';
import type {TargetRegistry} from '../targets/target-registry.js';
import type {TargetState} from '../targets/target-state.js';
import {isSuitableForHedge} from './hedge-policy.js';

/** The dependencies of the picker. */
export type HedgeTargetPickerOptions = {
	readonly clock: Clock;
	readonly registry: Pick<TargetRegistry, 'getOpenTargets'>;
	readonly prober: Pick<TargetProber, 'probe'>;
	readonly lastSlotFactor: LastSlotFactor;
	/** The data centre of this host. */
	readonly dataCentre: DataCentreId;
};

/** Whether and how the picked target is used. */
export type HedgeClaim = {
	/** Whether the target is still needed; checked after each round of probes. */
	readonly isNeeded: () => boolean;
	/** Takes the hedge out of the budgets; called once a target is found. */
	readonly claim: () => boolean;
};

/** Only near targets are probed: the bytes of a second copy between data centres cost more than it brings. */
const hedgeScopes = ['subset', 'near'] as const;
/** The number of targets probed at once. */
const probeCount = 4;

/** Probes near targets for a free slot. */
export class HedgeTargetPicker {
	readonly #options: HedgeTargetPickerOptions;

	/**
	 * @param options - The dependencies.
	 */
	constructor(options: HedgeTargetPickerOptions) {
		this.#options = options;
	}

	/**
	 * Picks a suitable target that has not got the request yet.
	 *
	 * @param request - The request.
	 * @param hedge - Whether and how it is used.
	 * @returns The target with a connection; undefined if there is none, it is not needed any more or the claim fails.
	 */
	async pick(
		request: PickRequest,
		{isNeeded, claim}: HedgeClaim,
	): Promise<PickedTarget | undefined> {
		const {clock, prober} = this.#options;
		const startedAtMs = clock.monotonicMs();
		let probedCount = 0;
		for (const scope of hedgeScopes) {
			probedCount += await prober.probe(request, probeCount, scope);
			if (!isNeeded()) {
				return undefined;
			}

			const best = this.#findBest(request);
			if (best !== undefined) {
				const {state, expectedMs} = best;
				const {load} = state;
				const connection = claim()
					? state.pool.acquire(maxIdleMs.idempotent)
					: undefined;
				if (connection === undefined) {
					return undefined;
				}

				const nowMs = clock.monotonicMs();
				const waitedMs = nowMs - startedAtMs;
				state.addSend();
				return {
					state,
					connection,
					warmUpPermit: undefined,
					load,
					expectedMs,
					probedCount,
					waitedMs,
				};
			}
		}

		return undefined;
	}

	#findBest(request: PickRequest): TargetCandidate | undefined {
		const {registry, clock, dataCentre} = this.#options;
		const nowMs = clock.monotonicMs();
		return registry
			.getOpenTargets(request.service)
			.filter(
				(state) =>
					state.registration.dataCentre === dataCentre &&
					isEligible(request, state.registration.id) &&
					isSuitableForHedge(state, nowMs),
			)
			.map((state) => this.#getCandidate(state, request, nowMs))
			.filter(({expectedMs}) => nowMs + expectedMs <= request.deadlineMs)
			.toSorted((a, b) => a.costMs - b.costMs)[0];
	}

	#getCandidate(
		state: TargetState,
		{service, serviceTimeMs, isIdempotent}: PickRequest,
		nowMs: number,
	): TargetCandidate {
		const condition: TargetCondition = {
			load: state.load,
			slots: state.slots,
			slowdownFactor: state.report?.slowdownFactor ?? 1,
			isHealthy: true,
			isCold: false,
			failureRate: state.getFailureRate(nowMs),
			isNear: true,
		};
		const profile: RequestProfile = {
			serviceTimeMs,
			lastSlotFactor: this.#options.lastSlotFactor.get(service, state.slots),
			isIdempotent,
		};
		return {
			state,
			costMs: getCostMs(condition, profile),
			expectedMs: getExpectedLatencyMs(condition, profile),
		};
	}
}
