/** Sends requests to picked targets and updates statistics and crash suspects from the results. */

import {
	notRunFailure,
	type Clock,
	type Digest,
	type Failure,
} from '@bilberryscale/core';
import {getRequestSignature, type SentCopy} from '@bilberryscale/daemon/edge';
import type {CrashSuspects} from '@bilberryscale/decisions';
import {getTargetAccountHeaders} from '../accounts/account-headers.js';
import type {FullTargetBehaviour} from '../choice/full-target-behaviour.js';
import type {LastSlotFactor} from '../choice/last-slot-factor.js';
import type {PickedTarget} from '../choice/target-picker.js';
import type {RequestRecorder} from '../records/request-recorder.js';
import type {AvailabilityNotice} from '../targets/target-availability.js';
import type {TargetProtocol} from '../targets/target-protocol.js';
import type {TargetState} from '../targets/target-state.js';
import type {RoutedRequest} from './request-reader.js';
import {addCopy, settleCopy} from './unsettled-copies.js';
import {
	isTargetFault,
	minServerErrorStatus,
	type AttemptResult,
} from './attempt-result.js';
import {getStallTimeoutMs} from './get-stall-timeout-ms.js';
import type {SilenceDetector} from './silence-detector.js';
import {TargetAttempt, type TargetAttemptOptions} from './target-attempt.js';
import type {ServiceTimes} from './service-times.js';
import type {ShutdownLimit} from './shutdown-limit.js';

/** Dependencies of the dispatcher. */
export type AttemptDispatcherOptions = {
	readonly clock: Clock;
	readonly serviceTimes: ServiceTimes;
	readonly shutdownLimit: Pick<ShutdownLimit, 'getExpectedMs'>;
	readonly lastSlotFactor: LastSlotFactor;
	readonly fullTargets: FullTargetBehaviour;
	readonly silenceDetector: SilenceDetector;
	readonly protocol: TargetProtocol;
	readonly recorder: RequestRecorder;
	/** Requests that may have crashed targets. */
	readonly crashSuspects: CrashSuspects;
	/** Called with what a response says about its target's availability, and whether it names the request. */
	readonly onNotice: (
		state: TargetState,
		notice: AvailabilityNotice | undefined,
		namesRequest: boolean,
	) => void;
	/** Called when a connection broke during a request; calls back if the target has crashed. */
	readonly onConnectionBroken: (
		state: TargetState,
		signature: Digest,
		onCrashConfirmed: () => void,
	) => void;
	/** Called when a target failed a request. */
	readonly onTargetFailure: (state: TargetState) => void;
};

/** What ends an attempt before its deadline. */
export type AttemptControl = Pick<
	TargetAttemptOptions,
	'secureRetry' | 'supersededSignal'
>;

/** Retry delay for a blocked request, in milliseconds. */
const blockedRetryAfterMs = 60_000;

/** Runs single attempts. */
export class AttemptDispatcher {
	readonly #options: AttemptDispatcherOptions;

	/**
	 * @param options - The dependencies.
	 */
	constructor(options: AttemptDispatcherOptions) {
		this.#options = options;
	}

	/**
	 * Gets the failure of a blocked request, which must not be sent to any target.
	 *
	 * @param request - The request.
	 * @returns The failure; undefined if the request is not blocked.
	 */
	getBlockedFailure({exchange}: RoutedRequest): Failure | undefined {
		const {crashSuspects, clock} = this.#options;
		if (crashSuspects.isEmpty) {
			return undefined;
		}

		const signature = getRequestSignature(exchange);
		return crashSuspects.isBlocked(signature, clock.monotonicMs())
			? notRunFailure(
					'no-target',
					'Targets ended each time they ran this request.',
					blockedRetryAfterMs,
				)
			: undefined;
	}

	/**
	 * Sends a request to one target.
	 *
	 * @param request - The request.
	 * @param picked - The target, a connection to it and figures for the log.
	 * @param attempt - The number of the attempt, from 1 for each request.
	 * @param control - What ends the attempt early.
	 * @returns The result of the attempt.
	 */
	async send(
		request: RoutedRequest,
		picked: PickedTarget,
		attempt: number,
		control: AttemptControl,
	): Promise<AttemptResult> {
		const {clock, protocol, silenceDetector, recorder, serviceTimes} =
			this.#options;
		const {shutdownLimit} = this.#options;
		const {exchange, route, body, deadlineMs, account} = request;
		const {state, connection, load, expectedMs, probedCount, waitedMs} = picked;
		const {report} = state;
		const startedAtMs = clock.monotonicMs();
		const slowdownFactor = report?.slowdownFactor ?? 1;
		const limitPerSecond = state.availability.limit.perSecond;
		const coldForMs = state.getColdForMs(startedAtMs);
		const copy: SentCopy = {
			to: state.registration.id,
			expectedMs: shutdownLimit.getExpectedMs(route, expectedMs),
		};
		addCopy(exchange, copy);
		const targetAttempt = new TargetAttempt({
			incoming: exchange.incoming,
			body,
			state,
			connection,
			protocol,
			clock,
			deadlineMs,
			accountHeaders: request.hasAccounts
				? getTargetAccountHeaders(protocol, account)
				: {},
			onNotice: (notice, namesRequest) => {
				this.#options.onNotice(state, notice, namesRequest);
			},
			silenceDetector: route.isIdempotent ? silenceDetector : undefined,
			stallTimeoutMs: route.isIdempotent
				? getStallTimeoutMs({
						expectedMs,
						serviceTimeMs: serviceTimes.getMs(
							route.name,
							route.targetLatencyMs,
						),
						remainingMs: deadlineMs - startedAtMs,
					})
				: undefined,
			isTooLate: exchange.isTooLate,
			onWrite(writtenAtMs) {
				copy.writtenAtMs = writtenAtMs;
			},
			warmUpPermit: picked.warmUpPermit,
			...control,
		});
		const result = await targetAttempt.run();
		settleCopy(exchange, result);
		const durationMs = clock.monotonicMs() - startedAtMs;
		this.#options.fullTargets.add(
			request.service,
			load + 1 - state.slots,
			result,
		);
		if (
			result.kind === 'answered' &&
			result.answer.status < minServerErrorStatus
		) {
			this.#recordServiceTime(
				request,
				{load, slots: state.slots},
				durationMs / slowdownFactor,
			);
		}

		this.#updateCrashSuspects(request, state, result);
		if (isTargetFault(result)) {
			this.#options.onTargetFailure(state);
		}

		recorder.recordAttempt(exchange, {
			attempt,
			service: request.service,
			target: state.registration.id,
			account: account?.name,
			load,
			slots: state.slots,
			slowness: slowdownFactor,
			limitPerSecond,
			coldForMs,
			writtenAfterMs:
				targetAttempt.writtenAtMs === undefined
					? undefined
					: targetAttempt.writtenAtMs - startedAtMs,
			reportAgeMs: startedAtMs - (report?.receivedAtMs ?? startedAtMs),
			askedCount: probedCount,
			waitedMs,
			expectedMs,
			durationMs,
			result,
		});
		return result;
	}

	/** Adds a service time, already divided by the target's slowdown factor, to the averages. */
	#recordServiceTime(
		{route, service}: RoutedRequest,
		{load, slots}: {readonly load: number; readonly slots: number},
		serviceTimeMs: number,
	): void {
		const {serviceTimes, lastSlotFactor} = this.#options;
		const isLastSlot = load + 1 === slots;
		if (load + 1 < slots || slots === 1) {
			serviceTimes.add(route.name, serviceTimeMs);
		}

		if (load < slots) {
			const relativeTime =
				serviceTimeMs /
				this.#options.serviceTimes.getMs(route.name, route.targetLatencyMs);
			lastSlotFactor.add(service, isLastSlot, relativeTime);
		}
	}

	/** Adds a request as a crash suspect if its connection broke, and clears it if it was answered. */
	#updateCrashSuspects(
		{exchange}: RoutedRequest,
		state: PickedTarget['state'],
		result: AttemptResult,
	): void {
		const {crashSuspects, clock} = this.#options;
		if (result.kind === 'answered' && !crashSuspects.isEmpty) {
			crashSuspects.clear(getRequestSignature(exchange));
		}

		if (result.kind === 'failed' && result.cause === 'broken') {
			const brokenAtMs = clock.monotonicMs();
			const signature = getRequestSignature(exchange);
			let hasCrashed = false;
			this.#options.onConnectionBroken(state, signature, () => {
				hasCrashed = true;
			});
			crashSuspects.addIncident(signature, {
				incarnation: state.registration.incarnation,
				atMs: brokenAtMs,
				isConfirmed: () => hasCrashed && state.lastContactAtMs < brokenAtMs,
			});
		}
	}
}
