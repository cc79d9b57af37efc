/** Relays a request to targets, with retries, and builds the result for the caller. */

import {
	notRunFailure,
	type Clock,
	type Failure,
	type ServiceName,
} from '@bilberryscale/core';
import {
	makeShutdownFailure,
	type Exchange,
	type FilterResult,
} from '@bilberryscale/daemon/edge';
import {Err, Ok, type Result} from 'ts-results-es';
import type {AllotmentGate} from '../accounts/allotment-gate.js';
import {AllotmentPermit} from '../accounts/allotment-permit.js';
import type {ReturnSchedules} from '../capacity/return-schedules.js';
import type {AccountCheck} from '../accounts/account-check.js';
import type {PickedTarget, TargetPicker} from '../choice/target-picker.js';
import type {Forwarder} from '../forwarding/forwarder.js';
import type {ForwardedRequest} from '../forwarding/forwarding-protocol.js';
import type {Route} from '../plan/routing-plan.js';
import type {RequestRecorder} from '../records/request-recorder.js';
import type {TargetRegistry} from '../targets/target-registry.js';
import {
	isOverdue,
	type RequestReader,
	type RoutedRequest,
} from './request-reader.js';
import type {HedgedDispatcher, SentCopies} from './hedged-dispatcher.js';
import type {AttemptDispatcher} from './attempt-dispatcher.js';
import {buildResult} from './build-result.js';
import {
	addOtherCopy,
	addRefusingTarget,
	makeRequestProgress,
	type RequestProgress,
} from './request-progress.js';
import {pickWithPermit} from './pick-with-permit.js';
import {
	pickBetterResult,
	isConclusive,
	mayHaveRun,
	type AttemptResult,
} from './attempt-result.js';
import type {ServiceTimes} from './service-times.js';
import type {RetryAllowance} from './retry-allowance.js';
import type {ShutdownLimit} from './shutdown-limit.js';

/** Dependencies of the relay. */
export type RelayOptions = {
	readonly clock: Clock;
	readonly picker: TargetPicker;
	readonly reader: RequestReader;
	readonly accountCheck: AccountCheck;
	readonly serviceTimes: ServiceTimes;
	readonly dispatcher: AttemptDispatcher;
	readonly forwarder: Forwarder;
	/** The rate limits of client accounts. */
	readonly allotments: AllotmentGate;
	readonly registry: TargetRegistry;
	readonly returnSchedules: ReturnSchedules;
	/** Sends second copies of idempotent requests; undefined if the operator has set no limit for them. */
	readonly hedging: HedgedDispatcher | undefined;
	readonly retryAllowance: RetryAllowance;
	readonly recorder: RequestRecorder;
	readonly isShuttingDown: () => boolean;
	readonly shutdownLimit: Pick<ShutdownLimit, 'isTooLate'>;
};

/** Share of the retry budget that hedges leave to retries. */
const retryShare = 0.6;
/** Maximum attempts beyond the route's limit, to targets that refused the request at random before. */
const maxRepeatedAttempts = 3;
/** Stands for an attempt whose target is silent or has stalled. */
const leftResult: AttemptResult = {
	kind: 'failed',
	cause: 'stalled',
	mayHaveRun: true,
	detail: 'the target does not respond',
};

/** Relays requests to targets within the retry budget of each service. */
export class Relay {
	readonly #options: RelayOptions;

	/**
	 * @param options - The dependencies.
	 */
	constructor(options: RelayOptions) {
		this.#options = options;
	}

	/**
	 * Relays a request.
	 *
	 * @param exchange - The request.
	 * @param forwarding - What another host says about a request that it has forwarded; undefined for a caller's own request.
	 * @returns The response, or the reason for the failure.
	 */
	async run(
		exchange: Exchange,
		forwarding?: ForwardedRequest,
	): Promise<FilterResult> {
		exchange.unsettledCopies = 0;
		const result = await this.#options.reader.read(
			exchange,
			forwarding !== undefined,
		);
		if (result.isErr()) {
			this.#options.recorder.recordRefusal(exchange, result.error);
			return result;
		}

		const request = limitAttempts(result.value, forwarding?.attemptsLeft);
		const refusal =
			this.#options.dispatcher.getBlockedFailure(request) ??
			this.#getShutdownRefusal(request);
		const outcome =
			refusal === undefined
				? await this.#sendUnderLimit(request, forwarding)
				: Err(refusal);
		this.#options.recorder.recordCompletion(
			exchange,
			request.route,
			outcome,
			request.account?.name,
		);
		return outcome;
	}

	/** Gets the refusal of a request that a target could not answer before this host shuts down; undefined while there is time. */
	#getShutdownRefusal(
		request: RoutedRequest,
		expectedMs?: number,
	): Failure | undefined {
		return this.#options.shutdownLimit.isTooLate(request, expectedMs)
			? makeShutdownFailure()
			: undefined;
	}

	/** Sends a request within the rate limit of its client account, which the host that received it from the caller checks. */
	async #sendUnderLimit(
		request: RoutedRequest,
		forwarding: ForwardedRequest | undefined,
	): Promise<FilterResult> {
		const permit =
			forwarding === undefined ? this.#makePermit(request) : undefined;
		const refusal =
			permit?.isScarce === true ? await permit.getRefusal() : undefined;
		const outcome =
			refusal === undefined
				? await this.#sendWithRetries(request, forwarding, permit)
				: Err(refusal);
		if (outcome.isErr() && outcome.error.ran === 'not-run') {
			permit?.giveBack();
		}

		return outcome;
	}

	#makePermit({account, exchange}: RoutedRequest): AllotmentPermit | undefined {
		const {clock, allotments} = this.#options;
		const {requestId} = exchange.incoming;
		return account === undefined || account.ratePerSecond <= 0
			? undefined
			: new AllotmentPermit({clock, gate: allotments, account, requestId});
	}

	async #sendWithRetries(
		request: RoutedRequest,
		forwarding: ForwardedRequest | undefined,
		permit: AllotmentPermit | undefined,
	): Promise<FilterResult> {
		const {reader, registry, retryAllowance} = this.#options;
		const canForward = forwarding === undefined;
		const progress = makeRequestProgress(permit, forwarding?.isCounted);
		if (!canForward || !registry.pathMonitor.isLost) {
			retryAllowance.countRequest(request, progress);
		}

		this.#options.returnSchedules.addArrival(request);
		if (canForward) {
			// A forwarded request counts at the host of its caller.
			this.#options.hedging?.addRequest(request.service);
		}

		for (;;) {
			const {best} = progress;
			if (
				best !== undefined &&
				progress.next === undefined &&
				!(await retryAllowance.take(request, best, progress))
			) {
				return buildResult(
					best,
					progress.executions,
					'the retry allowance is used up',
				);
			}

			const attempt = await this.#attempt(request, progress, canForward);
			if (attempt.isErr()) {
				retryAllowance.giveBack(request, progress);
				if (progress.executions === 0 && isAccountFailure(attempt.error)) {
					return attempt;
				}

				if (attempt.error.kind === 'over-capacity') {
					this.#options.hedging?.addRefusal(request.service);
				}

				return best === undefined
					? Err(reader.addRetryAfter(request, attempt.error))
					: buildResult(best, progress.executions, attempt.error.detail);
			}

			const result = attempt.value;
			progress.attempts++;
			progress.executions += mayHaveRun(result) ? 1 : 0;
			progress.best = pickBetterResult(best, result);
			if (!this.#canRetry(request, result, progress)) {
				this.#releaseNext(request, progress);
				return buildResult(progress.best, progress.executions, undefined);
			}
		}
	}

	/** Sends a request to a target, or through another host if this one reaches no target. */
	async #attempt(
		request: RoutedRequest,
		progress: RequestProgress,
		canForward: boolean,
	): Promise<Result<AttemptResult, Failure>> {
		const {registry} = this.#options;
		const {next} = progress;
		if (next !== undefined) {
			progress.next = undefined;
			return this.#send(request, next.picked, progress);
		}

		const wasLost = registry.pathMonitor.isLost;
		if (wasLost) {
			const forwarded = await this.#forward(request, progress, canForward);
			if (forwarded !== undefined) {
				return forwarded;
			}

			this.#options.retryAllowance.countRequest(request, progress);
		}

		const picked = await this.#pick(request, progress, !wasLost);
		if (picked.isOk()) {
			return this.#send(request, picked.value, progress);
		}

		if (wasLost || !registry.isOutOfReach(request.service)) {
			return picked;
		}

		const forwarded = await this.#forward(request, progress, canForward);
		if (forwarded !== undefined) {
			return forwarded;
		}

		const pickedAfterAll = await this.#pick(request, progress, false);
		return pickedAfterAll.isErr()
			? pickedAfterAll
			: this.#send(request, pickedAfterAll.value, progress);
	}

	/** Sends a request to a picked target, unless its key is no longer valid. */
	async #send(
		request: RoutedRequest,
		picked: PickedTarget,
		progress: RequestProgress,
	): Promise<Result<AttemptResult, Failure>> {
		const {picker, accountCheck, retryAllowance} = this.#options;
		const checked = accountCheck.recheck(request);
		if (checked.isErr()) {
			this.#release(request.service, picked);
			return checked;
		}

		// Time has passed since the pick if the request has waited for a token.
		const refusal = this.#getShutdownRefusal(request, picked.expectedMs);
		if (refusal !== undefined) {
			this.#release(request.service, picked);
			return Err(refusal);
		}

		if (!retryAllowance.use(request, progress)) {
			this.#release(request.service, picked);
			return Err(
				notRunFailure('over-capacity', 'The retry allowance is used up.'),
			);
		}

		progress.triedTargets.add(picked.state.registration.id);
		const [{target, result}, ...others] = await this.#sendCopies(
			checked.value,
			picked,
			progress,
		);
		picker.wakeFirstWaiting(request.service, target);
		if (result.kind === 'answered') {
			this.#options.returnSchedules.addDeparture(request.service);
		}

		addRefusingTarget(progress, {target, result});
		for (const other of others) {
			addOtherCopy(progress, other);
		}

		return Ok(result);
	}

	/** Frees a picked target to which no request is sent. */
	#release(
		service: ServiceName,
		{state, connection, warmUpPermit}: PickedTarget,
	): void {
		if (warmUpPermit !== undefined) {
			state.warmUp.giveBack(warmUpPermit);
		}

		state.addEnd();
		state.pool.release(connection, false);
		this.#options.picker.wakeFirstWaiting(service, state.registration.id);
	}

	/** Sends a request to a picked target and, if hedging is on, perhaps to another one. */
	async #sendCopies(
		request: RoutedRequest,
		picked: PickedTarget,
		progress: RequestProgress,
	): Promise<SentCopies> {
		const {dispatcher, hedging, clock, retryAllowance} = this.#options;
		const {triedTargets, attempts, executions} = progress;
		const attempt = attempts + 1;
		const ended = new AbortController();
		const secureRetry = async () =>
			this.#secureRetry(request, progress, ended.signal);
		try {
			if (hedging === undefined) {
				const target = picked.state.registration.id;
				const result = await dispatcher.send(request, picked, attempt, {
					secureRetry,
				});
				return [{target, result}];
			}

			const budget = retryAllowance.getBudget(request);
			return await hedging.send(request, picked, {
				attempt,
				executions,
				triedTargets,
				secureRetry,
				canTakeRetry: () => budget.canTake(clock.monotonicMs(), retryShare),
				takeRetry: () => budget.take(clock.monotonicMs(), retryShare),
			});
		} finally {
			ended.abort();
		}
	}

	/**
	 * Takes a retry and picks another target for a request whose target is silent or
	 * has stalled. That one may still respond, so it is left only after this. While
	 * the host shuts down, another attempt might not complete in time.
	 */
	async #secureRetry(
		request: RoutedRequest,
		progress: RequestProgress,
		ended: AbortSignal,
	): Promise<boolean> {
		const {clock, isShuttingDown, retryAllowance} = this.#options;
		const {route, exchange, service} = request;
		if (isShuttingDown() || progress.executions + 1 >= route.maxAttempts) {
			return false;
		}

		// The attempt may end meanwhile, and the request go on with a retry of its own.
		const secured = {...progress};
		if (!(await retryAllowance.take(request, leftResult, secured))) {
			return false;
		}

		const signal = AbortSignal.any([exchange.incoming.signal, ended]);
		const picked = await this.#pick(request, secured, false, signal);
		if (picked.isOk()) {
			const isOver = ended.aborted || isShuttingDown();
			if (!isOver && retryAllowance.use(request, secured)) {
				progress.next = {picked: picked.value, takenAtMs: clock.monotonicMs()};
				return true;
			}

			this.#release(service, picked.value);
		}

		retryAllowance.giveBack(request, secured);
		return false;
	}

	/** Gives up a retry that was secured for an attempt that has brought a result after all. */
	#releaseNext(request: RoutedRequest, progress: RequestProgress): void {
		const {next} = progress;
		if (next !== undefined) {
			progress.next = undefined;
			this.#release(request.service, next.picked);
			progress.retryTakenAtMs = next.takenAtMs;
			this.#options.retryAllowance.giveBack(request, progress);
		}
	}

	/**
	 * Sends a request through another host. A request that another host has
	 * forwarded is refused instead, so that no two hosts send it to each other.
	 *
	 * @returns The result or a refusal; undefined if no host takes requests.
	 */
	async #forward(
		request: RoutedRequest,
		progress: RequestProgress,
		canForward: boolean,
	): Promise<Result<AttemptResult, Failure> | undefined> {
		const {attempts, executions, permit} = progress;
		if (!canForward) {
			return Err(notRunFailure('no-target', 'This host reaches no target.'));
		}

		const refusal = await permit?.hold();
		if (refusal !== undefined) {
			return Err(refusal);
		}

		const checked = this.#options.accountCheck.recheck(request);
		if (checked.isErr()) {
			return checked;
		}

		const tooLate = this.#getShutdownRefusal(request);
		if (tooLate !== undefined) {
			return Err(tooLate);
		}

		const forwarded = await this.#options.forwarder.forward(checked.value, {
			attemptsLeft: request.route.maxAttempts - executions,
			isCounted: progress.isCounted,
		});
		if (forwarded === undefined) {
			if (attempts === 0) {
				permit?.resumeWait();
			}

			return undefined;
		}

		const {result, otherExecutions} = forwarded;
		progress.retryTakenAtMs = undefined;
		progress.isCounted = true;
		progress.executions += otherExecutions;

		if (result.kind !== 'refused') {
			return Ok(result);
		}

		return Err(
			notRunFailure(
				'over-capacity',
				`This host reaches no target, and another one refused the request with status ${result.status}.`,
			),
		);
	}

	async #pick(
		request: RoutedRequest,
		{triedTargets, refusingTargets, permit}: RequestProgress,
		endsOutOfReach: boolean,
		signal = request.exchange.incoming.signal,
	): Promise<Result<PickedTarget, Failure>> {
		const {picker, accountCheck, shutdownLimit} = this.#options;
		const {route, service, deadlineMs} = request;
		const isTargetLimitReached = triedTargets.size >= route.maxAttempts;
		const picked = await pickWithPermit(
			permit,
			signal,
			async (pickSignal) =>
				picker.pick({
					service,
					isIdempotent: route.isIdempotent,
					serviceTimeMs: this.#getServiceTimeMs(route),
					triedTargets,
					allowedTargets: isTargetLimitReached ? refusingTargets : undefined,
					endsOutOfReach,
					deadlineMs,
					receivedAtMs: request.exchange.incoming.receivedAtMs,
					isReturning: request.isReturning,
					isOverdue: isOverdue(request, this.#getServiceTimeMs(route)),
					signal: pickSignal,
					targetLatencyMs: route.targetLatencyMs,
					priority: request.priority,
					...(request.account && {account: request.account.name}),
					isRevoked: () => accountCheck.recheck(request).isErr(),
					isTooLate: (expectedMs) =>
						shutdownLimit.isTooLate(request, expectedMs),
				}),
			(unused) => {
				this.#release(service, unused);
			},
		);
		const checked = accountCheck.recheck(request);
		return picked.isErr() && checked.isErr() ? checked : picked;
	}

	#getServiceTimeMs({name, targetLatencyMs}: Route): number {
		return this.#options.serviceTimes.getMs(name, targetLatencyMs);
	}

	#canRetry(
		request: RoutedRequest,
		result: AttemptResult,
		{executions, attempts}: RequestProgress,
	): boolean {
		const {route, exchange, deadlineMs} = request;
		const isFinal =
			isConclusive(result) ||
			exchange.incoming.signal.aborted ||
			executions >= route.maxAttempts ||
			attempts >= route.maxAttempts + maxRepeatedAttempts;
		if (isFinal) {
			return false;
		}

		const {clock, shutdownLimit} = this.#options;
		const remainingMs = deadlineMs - clock.monotonicMs();
		return (
			remainingMs > this.#getServiceTimeMs(route) / 2 &&
			!shutdownLimit.isTooLate(request) &&
			(route.isIdempotent || !mayHaveRun(result))
		);
	}
}

/** Checks whether a request was refused because of its client account, which a retry does not change. */
function isAccountFailure({kind}: Failure): boolean {
	return (
		kind === 'account-unknown' ||
		kind === 'accounts-outdated' ||
		kind === 'account-rate-exceeded'
	);
}

function limitAttempts(
	request: RoutedRequest,
	attempts: number | undefined,
): RoutedRequest {
	const {route} = request;
	return attempts === undefined || attempts >= route.maxAttempts
		? request
		: {...request, route: {...route, maxAttempts: attempts}};
}
