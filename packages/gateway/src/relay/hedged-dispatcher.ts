/** Sends an idempotent request to a second target if the first takes longer than usual. */

import {Buffer} from 'node:buffer';
import type {Clock, ServiceName, TargetId} from '@bilberryscale/core';
import {getRequestSignature} from '@bilberryscale/daemon/edge';
import type {CrashSuspects} from '@bilberryscale/decisions';
import type {AccountCheck} from '../accounts/account-check.js';
import type {ServiceCapacity} from '../capacity/service-capacity.js';
import type {ShortageDetector} from '../capacity/shortage-detector.js';
import type {PickRequest} from '../choice/pick-request.js';
import type {PickedTarget} from '../choice/target-picker.js';
import type {HedgeBudget} from '../hedging/hedge-budget.js';
import {
	getHedgeObstacle,
	type HedgeObstacle,
	type HedgePolicy,
} from '../hedging/hedge-policy.js';
import type {HedgeTargetPicker} from '../hedging/hedge-target-picker.js';
import type {RequestRecorder} from '../records/request-recorder.js';
import type {AttemptControl, AttemptDispatcher} from './attempt-dispatcher.js';
import {
	isConclusive,
	pickBetterResult,
	type AttemptResult,
} from './attempt-result.js';
import {raceCopies, type Copy, type RaceResult} from './race-copies.js';
import {isOverdue, type RoutedRequest} from './request-reader.js';
import type {ServiceTimes} from './service-times.js';

/** The dependencies of the dispatcher. */
export type HedgedDispatcherOptions = {
	readonly clock: Clock;
	readonly dispatcher: Pick<AttemptDispatcher, 'send'>;
	readonly policy: HedgePolicy;
	readonly makeBudget: () => HedgeBudget;
	readonly targetPicker: Pick<HedgeTargetPicker, 'pick'>;
	readonly shortageDetector: ShortageDetector;
	/** Knows for which priorities slots are left free, which a hedge must not take. */
	readonly capacity: Pick<ServiceCapacity, 'isShort'>;
	readonly serviceTimes: ServiceTimes;
	readonly crashSuspects: CrashSuspects;
	/** Checks the key of a request again before its second copy is sent. */
	readonly accountCheck: Pick<AccountCheck, 'recheck'>;
	readonly recorder: Pick<
		RequestRecorder,
		'recordHedge' | 'recordHedgeObstacle' | 'recordHedgeSent'
	>;
	readonly isShuttingDown: () => boolean;
};

/** What has become of the request before, and its share of the retry budget. */
export type SendContext = {
	/** The number of the attempt, from 1 for each request. */
	readonly attempt: number;
	/** The number of earlier attempts in which a target may have run the request. */
	readonly executions: number;
	/** The targets that the request was already sent to, the picked one included. */
	readonly triedTargets: ReadonlySet<TargetId>;
	/** Makes sure that the request can be sent to another target at once if this one is silent or stalls. */
	readonly secureRetry: () => Promise<boolean>;
	/** Checks whether the retry budget allows a hedge. */
	readonly canTakeRetry: () => boolean;
	/** Takes a hedge out of the retry budget. */
	readonly takeRetry: () => boolean;
};

/** A copy of a request and how it has ended. */
export type SentCopy = {
	readonly target: TargetId;
	readonly result: AttemptResult;
};

/** The copies that decided the outcome of an attempt, at least one. */
export type SentCopies = readonly [SentCopy, ...SentCopy[]];

type EndedCopy = SentCopy & {readonly durationMs: number};

/** Sends requests, with a second copy where the policy and the budgets allow it. */
export class HedgedDispatcher {
	readonly #options: HedgedDispatcherOptions;
	readonly #budgets = new Map<ServiceName, HedgeBudget>();

	/**
	 * @param options - The dependencies.
	 */
	constructor(options: HedgedDispatcherOptions) {
		this.#options = options;
	}

	/**
	 * Counts a request towards the hedge budget of its service.
	 *
	 * @param service - The service.
	 */
	addRequest(service: ServiceName): void {
		this.#getBudget(service).addRequest(this.#options.clock.monotonicMs());
	}

	/**
	 * Records that a request was refused for lack of capacity.
	 *
	 * @param service - The service.
	 */
	addRefusal(service: ServiceName): void {
		this.#options.shortageDetector.addRefusal(service);
	}

	/**
	 * Sends a request to a picked target and, if it takes longer than usual, to another one.
	 *
	 * @param request - The request.
	 * @param picked - The first target.
	 * @param context - What has become of the request before.
	 * @returns The copies that were sent and have ended, the one with the best result first; after a
	 * good result, only the copy that brought it.
	 */
	async send(
		request: RoutedRequest,
		picked: PickedTarget,
		context: SendContext,
	): Promise<SentCopies> {
		const {clock, shortageDetector} = this.#options;
		shortageDetector.addWait(request.service, picked.waitedMs);
		const delayMs = this.#getDelayMs(request, picked);
		let isSecondRunning = false;
		const first = this.#startCopy(
			request,
			picked,
			context.attempt,
			async () => !isSecondRunning && context.secureRetry(),
		);
		if (delayMs === undefined) {
			return [await first.outcome];
		}

		const race = await raceCopies({
			clock,
			first,
			delayMs,
			startSecond: async (isOpen) => {
				const second = await this.#startSecond(request, context, isOpen);
				if (second === undefined) {
					return undefined;
				}

				isSecondRunning = true;
				const outcome = notifyEnd(second.outcome, () => {
					isSecondRunning = false;
				});
				return {...second, outcome};
			},
			isGood: ({result}) => isConclusive(result),
		});
		if (race.copies.length > 1) {
			void this.#recordRace(request, race, delayMs);
		}

		if (race.winner === 'second') {
			picked.state.addOvertaken(clock.monotonicMs());
		}

		const [only, other] = race.outcomes;
		if (other === undefined) {
			return [only];
		}

		const isOnlyBetter =
			pickBetterResult(only.result, other.result) === only.result;
		const [best, worse] = isOnlyBetter ? [only, other] : [other, only];
		discardAnswer(worse.result);
		return [best, worse];
	}

	/** Gets the time after which a hedge is due; undefined if none will be sent. */
	#getDelayMs(
		request: RoutedRequest,
		picked: PickedTarget,
	): number | undefined {
		const {policy, clock} = this.#options;
		const {route, deadlineMs} = request;
		return route.isIdempotent
			? policy.getDelayMs({
					route: route.name,
					slowdown: this.#getSlowdown(request, picked),
					serviceTimeMs: this.#getServiceTimeMs(request),
					remainingMs: deadlineMs - clock.monotonicMs(),
				})
			: undefined;
	}

	/** Gets the ratio of the time that is expected at a target to the typical one. */
	#getSlowdown(
		request: RoutedRequest,
		{state, expectedMs}: PickedTarget,
	): number {
		return Math.max(
			state.report?.slowdownFactor ?? 1,
			expectedMs / this.#getServiceTimeMs(request),
		);
	}

	#getServiceTimeMs({route}: RoutedRequest): number {
		return this.#options.serviceTimes.getMs(route.name, route.targetLatencyMs);
	}

	#startCopy(
		request: RoutedRequest,
		picked: PickedTarget,
		attempt: number,
		secureRetry: () => Promise<boolean>,
	): Copy<EndedCopy> {
		const controller = new AbortController();
		return {
			outcome: this.#sendCopy(request, picked, attempt, {
				secureRetry,
				supersededSignal: controller.signal,
			}),
			cancel() {
				controller.abort();
			},
		};
	}

	async #sendCopy(
		request: RoutedRequest,
		picked: PickedTarget,
		attempt: number,
		control: AttemptControl,
	): Promise<EndedCopy> {
		const {clock, dispatcher, policy, shortageDetector} = this.#options;
		const startedAtMs = clock.monotonicMs();
		const candidate = {
			route: request.route.name,
			slowdown: this.#getSlowdown(request, picked),
		};
		const result = await dispatcher.send(request, picked, attempt, control);
		const durationMs = clock.monotonicMs() - startedAtMs;
		if (request.route.isIdempotent && isConclusive(result)) {
			policy.addAnswer(candidate, durationMs);
		} else if (result.kind === 'failed' && result.cause === 'superseded') {
			policy.addCancelled(candidate, durationMs);
		} else if (result.kind === 'refused') {
			shortageDetector.addRefusal(request.service);
		}

		return {target: picked.state.registration.id, result, durationMs};
	}

	/** Starts the second copy, unless the policy, a budget or the lack of a suitable target forbids it. */
	async #startSecond(
		request: RoutedRequest,
		context: SendContext,
		isOpen: () => boolean,
	): Promise<Copy<EndedCopy> | undefined> {
		const {clock, recorder, targetPicker, accountCheck} = this.#options;
		const {exchange, service} = request;
		const isNeeded = () => isOpen() && !exchange.incoming.signal.aborted;
		if (!isNeeded()) {
			return undefined;
		}

		const obstacle = this.#getObstacle(request, context);
		if (obstacle !== undefined) {
			recorder.recordHedgeObstacle(exchange, obstacle);
			return undefined;
		}

		const picked = await targetPicker.pick(
			this.#makePickRequest(request, context),
			{
				isNeeded,
				// Other requests may have used up the budgets during the probes.
				claim: () =>
					this.#getObstacle(request, context) === undefined &&
					this.#getBudget(service).take(clock.monotonicMs()) &&
					context.takeRetry(),
			},
		);
		if (picked === undefined) {
			if (isNeeded()) {
				recorder.recordHedgeObstacle(
					exchange,
					this.#getObstacle(request, context) ?? 'no-target',
				);
			}

			return undefined;
		}

		recorder.recordHedgeSent();
		// The key may belong to another account by now.
		const checked = accountCheck.recheck(request).unwrapOr(request);
		return this.#startCopy(
			checked,
			picked,
			context.attempt + 1,
			async () => false,
		);
	}

	#getObstacle(
		request: RoutedRequest,
		{executions, canTakeRetry}: SendContext,
	): HedgeObstacle | undefined {
		const {service, route, exchange, priority} = request;
		const {clock, shortageDetector, capacity, isShuttingDown} = this.#options;
		const {crashSuspects, accountCheck} = this.#options;
		return getHedgeObstacle({
			isShuttingDown: isShuttingDown(),
			isShortOfCapacity:
				shortageDetector.isShort(service) ||
				capacity.isShort(service, priority),
			isCrashSuspect:
				!crashSuspects.isEmpty &&
				crashSuspects.isSuspect(getRequestSignature(exchange)),
			isKeyRemoved: accountCheck.recheck(request).isErr(),
			executions: executions + 1,
			maxAttempts: route.maxAttempts,
			isWithinLimit: this.#getBudget(service).canTake(clock.monotonicMs()),
			isWithinRetryBudget: canTakeRetry(),
		});
	}

	#makePickRequest(
		request: RoutedRequest,
		{triedTargets}: SendContext,
	): PickRequest {
		const {route, service, deadlineMs, exchange, isReturning, priority} =
			request;
		const {receivedAtMs, signal} = exchange.incoming;
		const serviceTimeMs = this.#getServiceTimeMs(request);
		return {
			service,
			isIdempotent: true,
			serviceTimeMs,
			triedTargets,
			allowedTargets: undefined,
			endsOutOfReach: false,
			deadlineMs,
			receivedAtMs,
			priority,
			isReturning,
			isOverdue: isOverdue(request, serviceTimeMs),
			signal,
			targetLatencyMs: route.targetLatencyMs,
		};
	}

	/** Records a race once both copies have ended, and discards a response that lost. */
	async #recordRace(
		{exchange, route}: RoutedRequest,
		{winner, copies}: RaceResult<EndedCopy>,
		delayMs: number,
	): Promise<void> {
		const [first, second] = await Promise.all(
			copies.map(async ({outcome}) => outcome),
		);
		if (first === undefined || second === undefined) {
			return;
		}

		const loser = winner === 'first' ? second : first;
		if (winner !== undefined) {
			discardAnswer(loser.result);
		}

		const durations = {first: first.durationMs, second: second.durationMs};
		this.#options.recorder.recordHedge(exchange, {
			route: route.name,
			first: first.target,
			second: second.target,
			winner,
			delayMs,
			wastedMs:
				winner === undefined
					? durations.first + durations.second
					: loser.durationMs,
		});
	}

	#getBudget(service: ServiceName): HedgeBudget {
		const existing = this.#budgets.get(service);
		const budget = existing ?? this.#options.makeBudget();
		this.#budgets.set(service, budget);
		return budget;
	}
}

/** Calls back when an outcome is known, before those that wait for it go on. */
async function notifyEnd<Outcome>(
	outcome: Promise<Outcome>,
	onEnd: () => void,
): Promise<Outcome> {
	try {
		return await outcome;
	} finally {
		onEnd();
	}
}

/** Ends the stream of a response that is not passed on; its connection closes. */
function discardAnswer(result: AttemptResult): void {
	if (result.kind === 'answered' && !Buffer.isBuffer(result.answer.body)) {
		result.answer.body.destroy();
	}
}
