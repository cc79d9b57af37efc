/** Picks the target for a request by asking several just before it is sent. */

import {
	notRun,
	type Clock,
	type DataCentreId,
	type Failure,
	type HostId,
	type RandomSource,
	type ServiceName,
	type TargetId,
} from '@bilberryscale/core';
import type {Connection} from '@bilberryscale/daemon/edge';
import {Err, Ok, type Result} from 'ts-results-es';
import {AskAllowance} from '../limits/ask-allowance.js';
import type {EventLog} from '../records/event-log.js';
import type {TargetBook} from '../targets/target-book.js';
import type {TargetProtocol} from '../targets/target-protocol.js';
import type {TargetState} from '../targets/target-state.js';
import {decideAcceptance, type Acceptance} from './acceptance.js';
import {
	getCostMs,
	getExpectedMs,
	type TargetView,
	type WorkView,
} from './expected-time.js';
import {askTargets} from './inquiry-round.js';
import type {LastSlotFactor} from './last-slot-factor.js';
import {getUsualTargets} from './usual-targets.js';
import {WakeUps} from './wake-ups.js';

/** What the picker works with. */
export type TargetPickerOptions = {
	readonly clock: Clock;
	readonly random: RandomSource;
	readonly log: EventLog;
	readonly book: TargetBook;
	readonly protocol: TargetProtocol;
	readonly lastSlot: LastSlotFactor;
	readonly host: HostId;
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
	/** The only targets that may still get it; undefined allows all that were not tried. */
	readonly among: ReadonlySet<TargetId> | undefined;
	/** When the request came, on the monotonic clock. */
	readonly receivedAtMs: number;
	/** The latency that its caller hopes for, in milliseconds. */
	readonly targetLatencyMs: number;
	/** When the request must have its answer, on the monotonic clock. */
	readonly deadlineMs: number;
	/** Aborts when the caller has gone. */
	readonly signal: AbortSignal;
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

/**
 * Which targets are asked: the usual ones in the data centre of this host, the
 * others there, those elsewhere, or all.
 */
type Reach = 'usual' | 'near' | 'far' | 'any';

/** In which order targets are asked, until one is as good as can be hoped for. */
const reaches: readonly Reach[] = ['usual', 'near', 'far'];

/** How many targets are asked for a request, and at each later look. */
const askedFirst = 8;
const askedAgain = 3;
/** Answers of this age are as good as new, in milliseconds. */
const freshMs = 15;
/** The pause before targets are asked again, in milliseconds. */
const askAgainMs = 45;
/** A round of questions serves all requests of the next milliseconds. */
const sharedRoundMs = 3;
/** The time between two requests of this host to a cold target, in milliseconds. */
const coldSpacingMs = 1000;
/** How long a connection may have been idle, in milliseconds, by what a loss would cost. */
const mostIdleMs = {idempotent: 5000, once: 150};

/** Asks targets and picks the one that is expected to answer first. */
export class TargetPicker {
	readonly #options: TargetPickerOptions;
	readonly #allowances = new Map<ServiceName, AskAllowance>();
	readonly #rounds = new Map<
		string,
		{readonly startedAtMs: number; readonly end: Promise<void>}
	>();

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
			askedCount += await this.#ask(request, askedFirst, reach);
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
			askedCount += isWoken ? 0 : await this.#ask(request, askedAgain, 'any');
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

	/** Asks targets, or shares the answers of questions that were just sent. */
	async #ask(
		request: PickRequest,
		wanted: number,
		reach: Reach,
	): Promise<number> {
		const {book, clock, protocol, log} = this.#options;
		const {service} = request;
		const nowMs = clock.monotonicMs();
		const key = `${service} ${reach}`;
		const running = this.#rounds.get(key);
		if (running !== undefined && nowMs - running.startedAtMs <= sharedRoundMs) {
			await running.end;
			return 0;
		}

		const states = this.#getAsked(request, wanted, reach);
		if (states.length === 0) {
			return 0;
		}

		const healthPath = book.getServicePlan(service)?.healthPath ?? '/';
		const end = askTargets({states, healthPath, protocol, clock, log});
		this.#rounds.set(key, {startedAtMs: nowMs, end});
		await end;
		return states.length;
	}

	#getAsked(request: PickRequest, wanted: number, reach: Reach): TargetState[] {
		const {service} = request;
		const {clock, random} = this.#options;
		const nowMs = clock.monotonicMs();
		const open = this.#getInReach(service, reach).filter(({listed}) =>
			mayGet(request, listed.id),
		);
		const calm = open.filter(({avoidUntilMs}) => avoidUntilMs <= nowMs);
		const candidates = calm.length > 0 ? calm : open;
		const allowed = this.#getAllowance(service).take(
			Math.min(wanted, candidates.length),
			open.length,
			nowMs,
		);
		return candidates
			.map((state) => ({state, rank: random()}))
			.toSorted((a, b) => a.rank - b.rank)
			.slice(0, Math.max(1, allowed))
			.map(({state}) => state);
	}

	#getInReach(service: ServiceName, reach: Reach): readonly TargetState[] {
		const {book, dataCentre, host} = this.#options;
		const open = book.getOpenTargets(service);
		if (reach === 'any') {
			return open;
		}

		const isNear = ({listed}: TargetState) => listed.dataCentre === dataCentre;
		if (reach === 'far') {
			return open.filter((state) => !isNear(state));
		}

		const near = open.filter((state) => isNear(state));
		const usual = getUsualTargets(near, host, askedFirst);
		return reach === 'usual'
			? usual
			: near.filter((state) => !usual.includes(state));
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

	#getAllowance(service: ServiceName): AskAllowance {
		const {questionsPerTargetSecond, getHostCount} = this.#options;
		const known = this.#allowances.get(service);
		const allowance =
			known ?? new AskAllowance(questionsPerTargetSecond, getHostCount);
		this.#allowances.set(service, allowance);
		return allowance;
	}
}

function mayGet({tried, among}: PickRequest, id: TargetId): boolean {
	return among === undefined ? !tried.has(id) : among.has(id);
}
