/** Picks the target for a request by asking several just before it is sent. */

import {
	notRun,
	type Clock,
	type DataCentreId,
	type Failure,
	type ServiceName,
} from '@bilberryscale/core';
import type {Connection} from '@bilberryscale/daemon/edge';
import {Err, Ok, type Result} from 'ts-results-es';
import type {TargetBook} from '../targets/target-book.js';
import type {TargetState} from '../targets/target-state.js';
import {decideAcceptance, type Acceptance} from './acceptance.js';
import {
	getCostMs,
	getExpectedMs,
	type TargetView,
	type WorkView,
} from './expected-time.js';
import type {LastSlotFactor} from './last-slot-factor.js';
import {mayGet, type PickRequest} from './pick-request.js';
import {mostAsked, reaches, type TargetAsker} from './target-asker.js';
import {WakeUps} from './wake-ups.js';

/** What the picker works with. */
export type TargetPickerOptions = {
	readonly clock: Clock;
	readonly book: TargetBook;
	readonly asker: TargetAsker;
	readonly lastSlot: LastSlotFactor;
	/** The data centre of this host. */
	readonly dataCentre: DataCentreId;
};

/** A target and a connection to it. */
export type Pick = {
	readonly state: TargetState;
	readonly connection: Connection;
	readonly expectedMs: number;
	readonly askedCount: number;
	readonly waitedMs: number;
};

type Candidate = {
	readonly state: TargetState;
	readonly costMs: number;
	readonly expectedMs: number;
};

/** How many targets are asked at each later look. */
const askedAgain = 3;
/** Answers of this age are as good as new, in milliseconds. */
const freshMs = 15;
/** The pause before targets are asked again, in milliseconds. */
const askAgainMs = 45;
/** The time between two requests of this host to a cold target, in milliseconds. */
const coldSpacingMs = 1000;
/** How long a connection may have been idle, in milliseconds, by what a loss would cost. */
const mostIdleMs = {idempotent: 5000, once: 150};

/** Asks targets and picks the one that is expected to answer first. */
export class TargetPicker {
	readonly #options: TargetPickerOptions;
	readonly #wakeUps: WakeUps;

	/**
	 * @param options - The targets and how they are asked.
	 */
	constructor(options: TargetPickerOptions) {
		this.#options = options;
		this.#wakeUps = new WakeUps(options.clock);
	}

	/**
	 * Picks a target.
	 *
	 * @param request - The request.
	 * @returns The target and its connection, or why there is none.
	 */
	async pick(request: PickRequest): Promise<Result<Pick, Failure>> {
		const {clock} = this.#options;
		const startedAtMs = clock.monotonicMs();
		let askedCount = 0;
		for (const reach of reaches) {
			askedCount += await this.#options.asker.ask(request, mostAsked, reach);
			if (this.#hasGood(request)) {
				break;
			}
		}

		for (;;) {
			const best = this.#getBest(request);
			const acceptance = this.#decide(request, best);
			if (acceptance === 'take' && best !== undefined) {
				const connection = this.#connect(best.state, request);
				if (connection !== undefined) {
					const waitedMs = clock.monotonicMs() - startedAtMs;
					const {state, expectedMs} = best;
					return Ok({state, connection, expectedMs, askedCount, waitedMs});
				}
			}

			if (acceptance === 'refuse' || this.#isHopeless(request)) {
				return Err(this.#describeRefusal(request, best, askedCount));
			}

			const isWoken = await this.#wakeUps.wait(request.service, askAgainMs);
			askedCount += isWoken
				? 0
				: await this.#options.asker.ask(request, askedAgain, 'any');
		}
	}

	/**
	 * Lets waiting requests look at a target that has just told its load.
	 *
	 * @param service - The service of the target.
	 */
	noteReport(service: ServiceName): void {
		this.#wakeUps.wake(service);
	}

	/** Tells whether no wait could bring a much better target. */
	#hasGood(request: PickRequest): boolean {
		const best = this.#getBest(request);
		return best !== undefined && this.#decide(request, best) === 'take';
	}

	#decide(
		{receivedAtMs, deadlineMs, targetLatencyMs, workMs}: PickRequest,
		best: Candidate | undefined,
	): Acceptance {
		const nowMs = this.#options.clock.monotonicMs();
		return decideAcceptance({
			ageMs: nowMs - receivedAtMs,
			leftMs: deadlineMs - nowMs,
			targetLatencyMs,
			workMs,
			bestMs: best?.expectedMs ?? Number.POSITIVE_INFINITY,
			hasFreeSlot: best !== undefined && best.state.load < best.state.slots,
		});
	}

	#isHopeless(request: PickRequest): boolean {
		const open = this.#options.book.getOpenTargets(request.service);
		return (
			request.signal.aborted ||
			open.every(({listed}) => !mayGet(request, listed.id))
		);
	}

	#connect(state: TargetState, {isIdempotent}: PickRequest) {
		return state.link.take(
			isIdempotent ? mostIdleMs.idempotent : mostIdleMs.once,
		);
	}

	#getBest(request: PickRequest): Candidate | undefined {
		const {book, clock} = this.#options;
		const nowMs = clock.monotonicMs();
		let best: Candidate | undefined;
		for (const state of book.getOpenTargets(request.service)) {
			if (!this.#mayTake(state, request, nowMs)) {
				continue;
			}

			const view = this.#getView(state, nowMs);
			const work = this.#getWork(state, request);
			const costMs = getCostMs(view, work);
			if (costMs < (best?.costMs ?? Number.POSITIVE_INFINITY)) {
				best = {state, costMs, expectedMs: getExpectedMs(view, work)};
			}
		}

		return best;
	}

	#mayTake(state: TargetState, request: PickRequest, nowMs: number): boolean {
		const reportedAtMs = state.report?.receivedAtMs ?? Number.NEGATIVE_INFINITY;
		if (!mayGet(request, state.listed.id) || nowMs - reportedAtMs > freshMs) {
			return false;
		}

		return (
			state.avoidUntilMs <= nowMs &&
			(!state.isCold(nowMs) ||
				(state.load === 0 && nowMs - state.coldSendAtMs >= coldSpacingMs))
		);
	}

	#getView(state: TargetState, nowMs: number): TargetView {
		return {
			load: state.load,
			slots: state.slots,
			slowness: state.report?.slowness ?? 1,
			isHealthy: state.health?.isHealthy ?? true,
			isCold: state.isCold(nowMs),
			failureShare: state.getFailureShare(nowMs),
			isNear: state.listed.dataCentre === this.#options.dataCentre,
		};
	}

	#getWork(
		{slots}: TargetState,
		{service, workMs, isIdempotent}: PickRequest,
	): WorkView {
		const lastSlotFactor = this.#options.lastSlot.get(service, slots);
		return {workMs, lastSlotFactor, isIdempotent};
	}

	#describeRefusal(
		{service}: PickRequest,
		best: Candidate | undefined,
		askedCount: number,
	): Failure {
		const openCount = this.#options.book.getOpenTargets(service).length;
		return best === undefined
			? notRun(
					'no-target',
					`None of ${openCount} open targets of "${service}" may take the request; ${askedCount} were asked.`,
				)
			: notRun(
					'over-capacity',
					`The best of ${openCount} open targets of "${service}" holds ${best.state.load} requests and would take ${Math.round(best.expectedMs)} ms.`,
				);
	}
}
