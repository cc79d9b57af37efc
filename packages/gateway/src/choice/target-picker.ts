/** Picks the target for a request by asking several just before it is sent. */

import {
	notRun,
	type Clock,
	type DataCentreId,
	type Failure,
	type RandomSource,
	type ServiceName,
	type TargetId,
} from '@bilberryscale/core';
import type {Connection} from '@bilberryscale/daemon';
import {Err, Ok, type Result} from 'ts-results-es';
import {AskAllowance} from '../limits/ask-allowance.js';
import type {TargetBook} from '../targets/target-book.js';
import type {TargetProtocol} from '../targets/target-protocol.js';
import type {TargetState} from '../targets/target-state.js';
import {getCostMs, getExpectedMs, type TargetView} from './expected-time.js';
import {TargetInquiry} from './target-inquiry.js';

/** What the picker works with. */
export type TargetPickerOptions = {
	readonly clock: Clock;
	readonly random: RandomSource;
	readonly book: TargetBook;
	readonly protocol: TargetProtocol;
	/** The data centre of this host. */
	readonly dataCentre: DataCentreId;
	/** How many questions a target gets in a second from the fleet. */
	readonly questionsPerTargetSecond: number;
	readonly getHostCount: () => number;
};

/** A request that needs a target. */
export type PickRequest = {
	readonly service: ServiceName;
	readonly isIdempotent: boolean;
	/** How long such work usually takes, in milliseconds. */
	readonly workMs: number;
	/** The targets that the request was sent to already. */
	readonly tried: ReadonlySet<TargetId>;
	/** When the request must have its answer, on the monotonic clock. */
	readonly deadlineMs: number;
	/** Until when a target may be looked for, on the monotonic clock. */
	readonly patienceEndsMs: number;
};

/** A target and a connection on which it has just answered. */
export type Pick = {
	readonly state: TargetState;
	readonly connection: Connection;
	readonly expectedMs: number;
	/** How many targets were asked and how many answered in time. */
	readonly askedCount: number;
	readonly answeredCount: number;
};

/** How many targets are asked for one request. */
const mostAsked = 8;
/** How long to wait for slower answers once one is there, in milliseconds. */
const slowerAnswersMs = 12;
/** How long to wait for the first answer, in milliseconds. */
const firstAnswerMs = 130;
/** The pause before targets are asked again, in milliseconds. */
const askAgainMs = 60;
/** The time between two requests of this host to a cold target, in milliseconds. */
const coldSpacingMs = 1000;

/** Asks targets and picks the one that is expected to answer first. */
export class TargetPicker {
	readonly #options: TargetPickerOptions;
	readonly #allowances = new Map<ServiceName, AskAllowance>();

	/**
	 * @param options - The targets and how they are asked.
	 */
	constructor(options: TargetPickerOptions) {
		this.#options = options;
	}

	/**
	 * Picks a target.
	 *
	 * @param request - The request.
	 * @returns The target and its connection, or why there is none.
	 */
	async pick(request: PickRequest): Promise<Result<Pick, Failure>> {
		const {clock} = this.#options;
		for (;;) {
			const result = await this.#pickOnce(request);
			const nextMs = clock.monotonicMs() + askAgainMs;
			if (result.isOk() || nextMs > request.patienceEndsMs) {
				return result;
			}

			await new Promise<void>((resolve) => {
				clock.schedule(askAgainMs, resolve);
			});
		}
	}

	async #pickOnce(request: PickRequest): Promise<Result<Pick, Failure>> {
		const asked = this.#getAsked(request);
		if (asked.length === 0) {
			return Err(
				notRun('no-target', `No target of "${request.service}" is open.`),
			);
		}

		const inquiries = await this.#ask(asked, request.service);
		const best = this.#getBest(inquiries, request);
		const connection = best?.takeConnection();
		const answeredCount = inquiries.filter(
			({hasAnswered}) => hasAnswered,
		).length;
		for (const inquiry of inquiries) {
			inquiry.release();
		}

		if (best === undefined || connection === undefined) {
			return Err(
				notRun(
					'no-target',
					`Of ${asked.length} targets of "${request.service}" asked, ${answeredCount} answered and none may take the request.`,
				),
			);
		}

		const expectedMs = getExpectedMs(this.#getView(best.state), request);
		return Ok({
			state: best.state,
			connection,
			expectedMs,
			askedCount: asked.length,
			answeredCount,
		});
	}

	#getAsked({service, tried}: PickRequest): TargetState[] {
		const {book, clock} = this.#options;
		const nowMs = clock.monotonicMs();
		const open = book
			.getOpenTargets(service)
			.filter(({listed}) => !tried.has(listed.id));
		const calm = open.filter(({avoidUntilMs}) => avoidUntilMs <= nowMs);
		const candidates = calm.length > 0 ? calm : open;
		const allowance = this.#getAllowance(service);
		const wanted = Math.min(mostAsked, candidates.length);
		const allowed = allowance.take(wanted, open.length, nowMs);
		return this.#shuffle(candidates).slice(0, Math.max(1, allowed));
	}

	async #ask(
		states: readonly TargetState[],
		service: ServiceName,
	): Promise<TargetInquiry[]> {
		const {book, clock, protocol} = this.#options;
		const healthPath = book.getServicePlan(service)?.healthPath ?? '/';
		return new Promise((resolve) => {
			let openCount = states.length;
			const cancelFirst = clock.schedule(firstAnswerMs, () => {
				finish();
			});
			let cancelSlower: (() => void) | undefined;
			const finish = () => {
				cancelFirst();
				cancelSlower?.();
				resolve(inquiries);
			};

			const inquiries = states.map(
				(state) =>
					new TargetInquiry({
						state,
						healthPath,
						protocol,
						clock,
						onEnd(inquiry) {
							openCount--;
							if (openCount === 0) {
								finish();
							} else if (inquiry.hasAnswered) {
								cancelSlower ??= clock.schedule(slowerAnswersMs, finish);
							}
						},
					}),
			);
			for (const inquiry of inquiries) {
				inquiry.start();
				openCount -= inquiry.hasEnded ? 1 : 0;
			}

			if (openCount === 0) {
				finish();
			}
		});
	}

	#getBest(
		inquiries: readonly TargetInquiry[],
		request: PickRequest,
	): TargetInquiry | undefined {
		const nowMs = this.#options.clock.monotonicMs();
		let best: TargetInquiry | undefined;
		let bestMs = Number.POSITIVE_INFINITY;
		for (const inquiry of inquiries) {
			const {state} = inquiry;
			if (!inquiry.hasAnswered || !this.#mayTake(state, nowMs)) {
				continue;
			}

			const costMs = getCostMs(this.#getView(state), request);
			if (costMs < bestMs) {
				best = inquiry;
				bestMs = costMs;
			}
		}

		return best;
	}

	/** Knowledge may have changed while targets were asked. */
	#mayTake(state: TargetState, nowMs: number): boolean {
		if (!this.#options.book.isOpen(state)) {
			return false;
		}

		return (
			!state.isCold(nowMs) ||
			(state.load === 0 && nowMs - state.coldSendAtMs >= coldSpacingMs)
		);
	}

	#getView(state: TargetState): TargetView {
		const nowMs = this.#options.clock.monotonicMs();
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

	#getAllowance(service: ServiceName): AskAllowance {
		const {questionsPerTargetSecond, getHostCount} = this.#options;
		const known = this.#allowances.get(service);
		const allowance =
			known ?? new AskAllowance(questionsPerTargetSecond, getHostCount);
		this.#allowances.set(service, allowance);
		return allowance;
	}

	#shuffle(states: readonly TargetState[]): TargetState[] {
		const {random} = this.#options;
		return states
			.map((state) => ({state, rank: random()}))
			.toSorted((a, b) => a.rank - b.rank)
			.map(({state}) => state);
	}
}
