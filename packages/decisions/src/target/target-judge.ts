/** Draws the consequences of each outcome for a target. */

import type {AuditKind, RandomSource} from '@bilberryscale/core';
import {ColdStart} from './cold-start.js';
import type {Outcome} from './outcome.js';
import type {ServiceAverages} from './service-averages.js';
import type {TargetState} from './target-state.js';

/** Takes a change of a target's standing. */
export type TargetAudit = (
	kind: AuditKind & ('target-ejected' | 'target-restored' | 'target-cold'),
	state: TargetState,
	cause: string,
) => void;

/** What a judge works with. */
export type TargetJudgeOptions = {
	readonly averages: ServiceAverages;
	readonly random: RandomSource;
	readonly audit: TargetAudit;
};

/** The most targets of a service that this host may have ejected at once. */
const highestEjectedShare = 1 / 3;
/** A target is silent after this multiple of its peers' latency. */
const silentRatio = 8;
/** A target has enough to do with this multiple of its slots. */
const enoughRatio = 2;

/** Ejects, restores, paces and warms the targets of one service. */
export class TargetJudge {
	readonly #options: TargetJudgeOptions;
	readonly #ejected = new Set<TargetState>();
	#targetCount = 0;

	/**
	 * @param options - What targets are judged by.
	 */
	constructor(options: TargetJudgeOptions) {
		this.#options = options;
	}

	/**
	 * Takes over how many targets are in service.
	 *
	 * @param count - The number.
	 */
	setTargetCount(count: number): void {
		this.#targetCount = count;
	}

	/**
	 * Forgets a target that is no longer in the bundle.
	 *
	 * @param state - The target.
	 */
	removeTarget(state: TargetState): void {
		this.#ejected.delete(state);
	}

	/**
	 * Takes in an outcome.
	 *
	 * @param state - The target.
	 * @param outcome - How the send ended.
	 * @param nowMs - The monotonic time in milliseconds.
	 */
	judge(state: TargetState, outcome: Outcome, nowMs: number): void {
		this.#noteLife(state, outcome, nowMs);
		if (outcome.report !== undefined) {
			this.#takeLoad(state, outcome.report.inFlight, nowMs);
		}

		switch (outcome.kind) {
			case 'served': {
				this.#takeSuccess(state, outcome, nowMs);
				break;
			}

			case 'not-run': {
				this.#takeRefusal(state, nowMs);
				break;
			}

			case 'unreachable':
			case 'failed': {
				this.#takeFailure(state, outcome, nowMs);
				break;
			}

			case 'cancelled': {
				break;
			}
		}
	}

	/**
	 * Suspects a target that has answered nothing for long of a cold start.
	 *
	 * @param state - The target.
	 * @param nowMs - The monotonic time in milliseconds.
	 * @returns Whether it is suspected from now on.
	 */
	suspectSilent(state: TargetState, nowMs: number): boolean {
		const boundMs = this.#options.averages.latencyMs * silentRatio;
		if (state.coldStart !== undefined || state.getSilenceMs(nowMs) <= boundMs) {
			return false;
		}

		state.coldStart = new ColdStart(state.target, undefined, nowMs);
		return true;
	}

	/** Leaves a target alone for as long as it has enough to do. */
	#takeLoad(state: TargetState, inFlight: number, nowMs: number): void {
		const {averages, random} = this.#options;
		averages.addLoad(Math.max(0, inFlight - state.outstanding));
		const {slots} = state.target;
		const excess = inFlight - slots * enoughRatio + 1;
		if (excess > 0) {
			const drainMs = (excess * averages.latencyMs) / (slots * enoughRatio);
			state.pausedUntilMs = Math.max(
				state.pausedUntilMs,
				nowMs + drainMs * (0.5 + random()),
			);
		}
	}

	/** Notices that the target has started again. */
	#noteLife(state: TargetState, outcome: Outcome, nowMs: number): void {
		const bootId = outcome.report?.bootId;
		if (bootId === undefined || bootId === state.bootId) {
			if (bootId !== undefined && state.coldStart?.bootId === undefined) {
				state.coldStart = undefined;
			}

			return;
		}

		if (bootId === state.formerBootId) {
			return;
		}

		if (state.bootId !== undefined) {
			this.#beginColdStart(state, new ColdStart(state.target, bootId, nowMs));
		}

		state.formerBootId = state.bootId;
		state.bootId = bootId;
	}

	#beginColdStart(state: TargetState, coldStart: ColdStart): void {
		state.coldStart = coldStart;
		state.forgetLatency();
		const cause =
			coldStart.bootId === undefined
				? 'it took no connection'
				: 'it reports a new life';
		this.#options.audit('target-cold', state, cause);
	}

	#takeSuccess(state: TargetState, outcome: Outcome, nowMs: number): void {
		const {averages, audit} = this.#options;
		averages.addAnswer(false);
		averages.addLatency(outcome.latencyMs);
		state.limit.addSuccess();
		this.#warm(state, outcome);
		const ratio = state.meanLatencyMs / averages.latencyMs;
		if (state.health.addSuccess(ratio)) {
			this.#ejected.delete(state);
			audit('target-restored', state, 'it served again');
			return;
		}

		this.#ejectIfFaulty(state, ratio, nowMs);
	}

	#warm(state: TargetState, outcome: Outcome): void {
		const {coldStart} = state;
		if (coldStart === undefined || outcome.report?.bootId !== state.bootId) {
			return;
		}

		coldStart.addSuccess();
		if (coldStart.isWarm) {
			state.coldStart = undefined;
		}
	}

	#takeRefusal(state: TargetState, nowMs: number): void {
		const {averages, random} = this.#options;
		averages.addAnswer(true);
		state.coldStart?.addRefusal(nowMs);
		const pauseMs = state.limit.addRefusal(averages.latencyMs, random());
		state.pausedUntilMs = Math.max(state.pausedUntilMs, nowMs + pauseMs);
	}

	#takeFailure(state: TargetState, outcome: Outcome, nowMs: number): void {
		this.#options.averages.addAnswer(false);
		if (outcome.kind === 'unreachable' && state.coldStart === undefined) {
			this.#beginColdStart(
				state,
				new ColdStart(state.target, undefined, nowMs),
			);
		}

		state.health.addFailure();
		this.#ejectIfFaulty(state, 0, nowMs);
	}

	#ejectIfFaulty(state: TargetState, ratio: number, nowMs: number): void {
		const fault = state.health.getFault(ratio);
		const highest = Math.floor(this.#targetCount * highestEjectedShare);
		const hasRoom = this.#ejected.has(state) || this.#ejected.size < highest;
		if (fault === undefined || !hasRoom || state.health.state === 'ejected') {
			return;
		}

		this.#ejected.add(state);
		const {random, audit} = this.#options;
		state.pausedUntilMs = nowMs + state.health.eject(random());
		state.forgetLatency();
		audit('target-ejected', state, fault);
	}
}
