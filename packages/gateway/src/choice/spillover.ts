/**
 * Decides for each service which requests look at targets in other data centres
 * (far targets), from what earlier looks at both sides have found. Addresses
 * uneven demand between data centres, and drained and lost data centres, where
 * bytes between data centres are expensive.
 */

import type {Clock, ServiceName} from '@bilberryscale/core';
import {DecayingAverage} from './decaying-average.js';
import {remotePenaltyMs} from './target-cost.js';

/** Which targets a request looks at first, and whether it looks at far targets at all. */
export type SpilloverOrder = 'near-only' | 'near-first' | 'far-first';

/** Where the requests of a service go: to near targets, to both sides, or to far targets first. */
export type SpilloverStage = 'near' | 'partly' | 'far';

/** Whether a service has open targets in the data centre of this host and in others. */
export type OpenSides = {
	readonly hasNear: boolean;
	readonly hasFar: boolean;
};

/** What a look at the near targets has found. */
export type NearLook = {
	/** Whether one of them could take the request at once. */
	readonly isAcceptable: boolean;
	/** Whether any of them has responded. */
	readonly hasAnswer: boolean;
};

/** What a look at far targets has found. */
export type FarLook = {
	/** Whether one of them could take the request at once. */
	readonly isAcceptable: boolean;
	/** The shortest time from a probe to its response, in milliseconds; undefined if unknown. */
	readonly roundTripMs: number | undefined;
};

/** A request that has found no acceptable near target. */
export type FarLookContext = {
	readonly hasNear: boolean;
	/** How long the request can still wait and be answered within the latency target, in milliseconds. */
	readonly slackMs: number;
	/** How often this request has looked at far targets. */
	readonly farLookCount: number;
};

/** The inputs of a decision, for the log. */
export type SpilloverInputs = {
	/** The share of requests that look at far targets first. */
	readonly farFirstShare: number;
	/** The share of looks that found no acceptable near target. */
	readonly nearShortage: number;
	/** The age of the last near look, in milliseconds; infinite before the first. */
	readonly nearLookAgeMs: number;
	/** The expected wait of a request for which no near target is acceptable, in milliseconds. */
	readonly nearWaitMs: number;
	/** The share of looks that found no acceptable far target. */
	readonly farShortage: number;
	/** The age of the last far look, in milliseconds; infinite before the first. */
	readonly farLookAgeMs: number;
	/** The round-trip time to far targets, in milliseconds. */
	readonly roundTripMs: number;
	/** Whether no near target responds. */
	readonly isNearSilent: boolean;
};

/** Told that the requests of a service go elsewhere than before. */
export type SpilloverChange = (
	service: ServiceName,
	stage: SpilloverStage,
	inputs: SpilloverInputs,
) => void;

type ServiceState = {
	readonly nearShortage: DecayingAverage;
	readonly nearWaitMs: DecayingAverage;
	readonly farShortage: DecayingAverage;
	roundTripMs: number | undefined;
	/** When no near target responded to a look, on the monotonic clock; negative infinity once one has. */
	nearSilentAtMs: number;
	/** When a near look was last due or made, on the monotonic clock. */
	nearLookAtMs: number;
	/** Fractions of requests that are due to look at far targets first, and to look at them again. */
	farFirstDue: number;
	repeatDue: number;
	stage: SpilloverStage;
};

/** Follows a change of the load within about a second and is void 2 s after the last look. */
const shortageTimes = {timeConstantMs: 400, holdMs: 500, decayMs: 400};
/** Waits are observed more rarely than shortages. */
const waitTimes = {timeConstantMs: 800, holdMs: 1000, decayMs: 1000};
/** A request that finds no acceptable near target waits at least until the targets are checked again, in milliseconds. */
const minNearWaitMs = 45;
/** The round-trip time to far targets until one was measured, in milliseconds. */
const defaultRoundTripMs = 8;
/** Weight of the newest round-trip time in the average. */
const roundTripSmoothing = 0.2;
/** Gain by far targets, in milliseconds, at which all requests look at them first; below it, a share does, which damps swings. */
const fullShareGainMs = 30;
/** Smaller shares are not worth their probes. */
const minFarFirstShare = 0.05;
/** Shares at which a service counts as going far; the distance between the two keeps the log quiet. */
const farStageShares = {enter: 0.9, leave: 0.6};
/** The near side is looked at again after this time while requests look at far targets first, in milliseconds. */
const nearLookIntervalMs = 250;
/** After this time without a look the near side no longer counts as silent, in milliseconds. */
const nearSilenceMs = 2000;
/** The least share of repeated looks while far targets are full, so that a free one is noticed. */
const minRepeatShare = 0.2;

/** Keeps what looks have found and decides from it; neither sends nor receives anything. */
export class Spillover {
	readonly #clock: Clock;
	readonly #onChange: SpilloverChange;
	readonly #states = new Map<ServiceName, ServiceState>();

	/**
	 * @param clock - The clock.
	 * @param onChange - Told of changes of a service's stage.
	 */
	constructor(clock: Clock, onChange: SpilloverChange = () => undefined) {
		this.#clock = clock;
		this.#onChange = onChange;
	}

	/**
	 * Decides which targets a new request looks at first.
	 *
	 * @param service - The service.
	 * @param sides - Where the service has open targets.
	 * @returns The order.
	 */
	takeOrder(
		service: ServiceName,
		{hasNear, hasFar}: OpenSides,
	): SpilloverOrder {
		if (!hasFar) {
			return 'near-only';
		}

		const state = this.#getState(service);
		const share = hasNear ? this.#getFarFirstShare(state) : 1;
		this.#updateStage(service, state, share);
		state.farFirstDue = share === 0 ? 0 : state.farFirstDue + share;
		if (state.farFirstDue < 1) {
			return 'near-first';
		}

		state.farFirstDue--;
		return 'far-first';
	}

	/**
	 * Decides whether a request for which no near target is acceptable looks at far targets now.
	 *
	 * @param service - The service.
	 * @param context - The request.
	 * @returns Whether it does; otherwise it waits for a near target.
	 */
	shouldLookFar(
		service: ServiceName,
		{hasNear, slackMs, farLookCount}: FarLookContext,
	): boolean {
		const state = this.#getState(service);
		const {nearWaitMs, farShortage, roundTripMs, isNearSilent} =
			this.#getInputs(state, 0);
		if (!hasNear || isNearSilent) {
			return true;
		}

		const isLateNear = slackMs <= nearWaitMs + roundTripMs;
		if (isLateNear) {
			return farLookCount === 0 || this.#takeRepeat(state, 1 - farShortage);
		}

		// Each further look costs probes again, so the gain must exceed them all.
		const costMs = (roundTripMs + remotePenaltyMs) * (1 + farLookCount);
		return nearWaitMs * (1 - farShortage) > costMs;
	}

	/**
	 * Checks whether the near side must be looked at while a request looks at far targets.
	 *
	 * @param service - The service.
	 * @returns Whether its last near look is long enough ago; it then counts as made.
	 */
	takeNearLook(service: ServiceName): boolean {
		const state = this.#getState(service);
		const nowMs = this.#clock.monotonicMs();
		if (nowMs - state.nearLookAtMs < nearLookIntervalMs) {
			return false;
		}

		state.nearLookAtMs = nowMs;
		return true;
	}

	/**
	 * Adds what a look at near targets has found.
	 *
	 * @param service - The service.
	 * @param look - The result.
	 */
	addNearLook(service: ServiceName, {isAcceptable, hasAnswer}: NearLook): void {
		const state = this.#getState(service);
		const nowMs = this.#clock.monotonicMs();
		state.nearLookAtMs = nowMs;
		state.nearShortage.add(isAcceptable ? 0 : 1, nowMs);
		state.nearSilentAtMs =
			hasAnswer || isAcceptable ? Number.NEGATIVE_INFINITY : nowMs;
	}

	/**
	 * Adds what a look at far targets has found.
	 *
	 * @param service - The service.
	 * @param look - The result.
	 */
	addFarLook(service: ServiceName, {isAcceptable, roundTripMs}: FarLook): void {
		const state = this.#getState(service);
		state.farShortage.add(isAcceptable ? 0 : 1, this.#clock.monotonicMs());
		if (roundTripMs !== undefined) {
			const previousMs = state.roundTripMs ?? roundTripMs;
			state.roundTripMs =
				previousMs + roundTripSmoothing * (roundTripMs - previousMs);
		}
	}

	/**
	 * Adds how long a request has waited for a near target, with or without success.
	 *
	 * @param service - The service.
	 * @param waitedMs - The wait in milliseconds.
	 */
	addNearWait(service: ServiceName, waitedMs: number): void {
		this.#getState(service).nearWaitMs.add(waitedMs, this.#clock.monotonicMs());
	}

	/**
	 * Gets the inputs of the decisions about a service.
	 *
	 * @param service - The service.
	 * @returns The inputs.
	 */
	getInputs(service: ServiceName): SpilloverInputs {
		const state = this.#getState(service);
		return this.#getInputs(state, this.#getFarFirstShare(state));
	}

	#getInputs(state: ServiceState, farFirstShare: number): SpilloverInputs {
		const nowMs = this.#clock.monotonicMs();
		return {
			farFirstShare,
			nearShortage: state.nearShortage.get(nowMs),
			nearLookAgeMs: state.nearShortage.getAgeMs(nowMs),
			nearWaitMs: Math.max(minNearWaitMs, state.nearWaitMs.get(nowMs)),
			farShortage: state.farShortage.get(nowMs),
			farLookAgeMs: state.farShortage.getAgeMs(nowMs),
			roundTripMs: state.roundTripMs ?? defaultRoundTripMs,
			isNearSilent: nowMs - state.nearSilentAtMs < nearSilenceMs,
		};
	}

	#getFarFirstShare(state: ServiceState): number {
		const inputs = this.#getInputs(state, 0);
		if (inputs.isNearSilent) {
			return 1;
		}

		const gainMs =
			inputs.nearShortage * inputs.nearWaitMs * (1 - inputs.farShortage) -
			inputs.roundTripMs -
			remotePenaltyMs;
		const share = Math.min(1, Math.max(0, gainMs / fullShareGainMs));
		return share < minFarFirstShare ? 0 : share;
	}

	#takeRepeat(state: ServiceState, share: number): boolean {
		state.repeatDue += Math.max(minRepeatShare, share);
		if (state.repeatDue < 1) {
			return false;
		}

		state.repeatDue--;
		return true;
	}

	#updateStage(service: ServiceName, state: ServiceState, share: number): void {
		const farShare =
			state.stage === 'far' ? farStageShares.leave : farStageShares.enter;
		const stage = share >= farShare ? 'far' : share > 0 ? 'partly' : 'near';
		if (stage !== state.stage) {
			state.stage = stage;
			this.#onChange(service, stage, this.#getInputs(state, share));
		}
	}

	#getState(service: ServiceName): ServiceState {
		const existing = this.#states.get(service);
		if (existing !== undefined) {
			return existing;
		}

		const state: ServiceState = {
			nearShortage: new DecayingAverage(shortageTimes),
			nearWaitMs: new DecayingAverage(waitTimes),
			farShortage: new DecayingAverage(shortageTimes),
			roundTripMs: undefined,
			nearSilentAtMs: Number.NEGATIVE_INFINITY,
			nearLookAtMs: Number.NEGATIVE_INFINITY,
			farFirstDue: 0,
			repeatDue: 0,
			stage: 'near',
		};
		this.#states.set(service, state);
		return state;
	}
}
