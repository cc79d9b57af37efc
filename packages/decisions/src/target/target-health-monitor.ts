/** Updates the state of targets after attempts and ejects outliers. */

import type {AuditKind, RandomSource} from '@bilberryscale/core';
import {ColdStart} from './cold-start.js';
import type {Outcome} from './outcome.js';
import type {ServiceAverages} from './service-averages.js';
import type {TargetState} from './target-state.js';

/** Records the ejection, the return or the cold start of a target. */
export type TargetAuditSink = (
	kind: AuditKind & ('target-ejected' | 'target-restored' | 'target-cold'),
	state: TargetState,
	cause: string,
) => void;

/** The dependencies of a target health monitor. */
export type TargetHealthMonitorOptions = {
	readonly averages: ServiceAverages;
	readonly random: RandomSource;
	readonly audit: TargetAuditSink;
};

/** The largest fraction of a service's targets that may be ejected at once. */
const maxEjectedFraction = 1 / 3;
/** A target is stalled if no attempt ends for this many mean latencies. */
const maxStallRatio = 8;
/** A target that reports a load of this multiple of its slots is paused. */
const reportedLoadPauseRatio = 2;

/** Handles ejection, return, pauses and cold starts of one service's targets. */
export class TargetHealthMonitor {
	readonly #options: TargetHealthMonitorOptions;
	readonly #ejected = new Set<TargetState>();
	#targetCount = 0;

	/**
	 * @param options - The averages, the random source and the audit sink.
	 */
	constructor(options: TargetHealthMonitorOptions) {
		this.#options = options;
	}

	/**
	 * Sets the number of targets in service, which bounds the ejected ones.
	 *
	 * @param count - The number of targets.
	 */
	setTargetCount(count: number): void {
		this.#targetCount = count;
	}

	/**
	 * Removes a target that is no longer in the bundle.
	 *
	 * @param state - The target.
	 */
	removeTarget(state: TargetState): void {
		this.#ejected.delete(state);
	}

	/**
	 * Updates a target and the service averages after an attempt.
	 *
	 * @param state - The target.
	 * @param outcome - The outcome of the attempt.
	 * @param nowMs - The monotonic time in milliseconds.
	 */
	applyOutcome(state: TargetState, outcome: Outcome, nowMs: number): void {
		this.#detectRestart(state, outcome, nowMs);
		if (outcome.report !== undefined) {
			this.#applyReportedLoad(state, outcome.report.inFlight, nowMs);
		}

		switch (outcome.kind) {
			case 'served': {
				this.#applySuccess(state, outcome, nowMs);
				break;
			}

			case 'not-run': {
				this.#applyRefusal(state, nowMs);
				break;
			}

			case 'unreachable':
			case 'failed': {
				this.#applyFailure(state, outcome, nowMs);
				break;
			}

			case 'cancelled': {
				break;
			}
		}
	}

	/**
	 * Treats a stalled target as cold, until an answer shows that it is not.
	 *
	 * @param state - The target.
	 * @param nowMs - The monotonic time in milliseconds.
	 * @returns Whether the target was warm before and is now marked cold.
	 */
	markColdIfStalled(state: TargetState, nowMs: number): boolean {
		const maxStallMs = this.#options.averages.latencyMs * maxStallRatio;
		if (
			state.coldStart !== undefined ||
			state.getStallMs(nowMs) <= maxStallMs
		) {
			return false;
		}

		state.coldStart = new ColdStart(state.target, undefined, nowMs);
		return true;
	}

	/**
	 * Averages the load from other hosts, and pauses an overloaded target for the
	 * time that it is expected to need to drain the excess.
	 */
	#applyReportedLoad(
		state: TargetState,
		inFlight: number,
		nowMs: number,
	): void {
		const {averages, random} = this.#options;
		averages.recordOtherHostsLoad(Math.max(0, inFlight - state.outstanding));
		const {slots} = state.target;
		const excess = inFlight - slots * reportedLoadPauseRatio + 1;
		if (excess > 0) {
			const drainMs =
				(excess * averages.latencyMs) / (slots * reportedLoadPauseRatio);
			state.pausedUntilMs = Math.max(
				state.pausedUntilMs,
				nowMs + drainMs * (0.5 + random()),
			);
		}
	}

	/**
	 * Starts a cold start when the boot id changes. An answer with the known boot
	 * id ends a cold start that was assumed because the target stalled or was
	 * unreachable.
	 */
	#detectRestart(state: TargetState, outcome: Outcome, nowMs: number): void {
		const bootId = outcome.report?.bootId;
		if (bootId === undefined || bootId === state.bootId) {
			if (bootId !== undefined && state.coldStart?.bootId === undefined) {
				state.coldStart = undefined;
			}

			return;
		}

		if (bootId === state.previousBootId) {
			return;
		}

		if (state.bootId !== undefined) {
			this.#beginColdStart(state, new ColdStart(state.target, bootId, nowMs));
		}

		state.previousBootId = state.bootId;
		state.bootId = bootId;
	}

	#beginColdStart(state: TargetState, coldStart: ColdStart): void {
		state.coldStart = coldStart;
		state.resetLatency();
		const cause =
			coldStart.bootId === undefined
				? 'it took no connection'
				: 'it reports a new life';
		this.#options.audit('target-cold', state, cause);
	}

	#applySuccess(state: TargetState, outcome: Outcome, nowMs: number): void {
		const {averages, audit} = this.#options;
		averages.recordAttempt(false);
		averages.recordLatency(outcome.latencyMs);
		state.concurrencyLimit.recordSuccess();
		this.#recordColdStartSuccess(state, outcome);
		const latencyRatio = state.meanLatencyMs / averages.latencyMs;
		if (state.health.recordSuccess(latencyRatio)) {
			this.#ejected.delete(state);
			audit('target-restored', state, 'it served again');
			return;
		}

		this.#ejectIfOutlier(state, latencyRatio, nowMs);
	}

	#recordColdStartSuccess(state: TargetState, outcome: Outcome): void {
		const {coldStart} = state;
		if (coldStart === undefined || outcome.report?.bootId !== state.bootId) {
			return;
		}

		coldStart.recordSuccess();
		if (coldStart.isWarm) {
			state.coldStart = undefined;
		}
	}

	#applyRefusal(state: TargetState, nowMs: number): void {
		const {averages, random} = this.#options;
		averages.recordAttempt(true);
		state.coldStart?.recordRefusal(nowMs);
		const pauseMs = state.concurrencyLimit.recordRefusal(
			averages.latencyMs,
			random(),
		);
		state.pausedUntilMs = Math.max(state.pausedUntilMs, nowMs + pauseMs);
	}

	#applyFailure(state: TargetState, outcome: Outcome, nowMs: number): void {
		this.#options.averages.recordAttempt(false);
		if (outcome.kind === 'unreachable' && state.coldStart === undefined) {
			this.#beginColdStart(
				state,
				new ColdStart(state.target, undefined, nowMs),
			);
		}

		state.health.recordFailure();
		this.#ejectIfOutlier(state, 0, nowMs);
	}

	#ejectIfOutlier(
		state: TargetState,
		latencyRatio: number,
		nowMs: number,
	): void {
		const ejectionReason = state.health.getEjectionReason(latencyRatio);
		const maxEjected = Math.floor(this.#targetCount * maxEjectedFraction);
		const canEject =
			this.#ejected.has(state) || this.#ejected.size < maxEjected;
		if (
			ejectionReason === undefined ||
			!canEject ||
			state.health.state === 'ejected'
		) {
			return;
		}

		this.#ejected.add(state);
		const {random, audit} = this.#options;
		state.pausedUntilMs = nowMs + state.health.eject(random());
		state.resetLatency();
		audit('target-ejected', state, ejectionReason);
	}
}
