/** Sends requests to picked targets and learns from how the sends end. */

import {
	notRun,
	type Clock,
	type Digest,
	type Failure,
} from '@bilberryscale/core';
import {getRequestSignature} from '@bilberryscale/daemon/edge';
import type {CrashSuspects} from '@bilberryscale/decisions';
import type {LastSlotFactor} from '../choice/last-slot-factor.js';
import type {PickedTarget} from '../choice/target-picker.js';
import type {CallJournal} from '../records/call-journal.js';
import type {TargetProtocol} from '../targets/target-protocol.js';
import type {TargetState} from '../targets/target-state.js';
import type {RelayCall} from './call-reader.js';
import {
	isTargetsFault,
	lowestFaultStatus,
	type SendResult,
} from './send-result.js';
import type {SilenceWatch} from './silence-watch.js';
import {TargetSend} from './target-send.js';
import type {WorkTimes} from './work-times.js';

/** What the desk works with. */
export type SendDeskOptions = {
	readonly clock: Clock;
	readonly workTimes: WorkTimes;
	readonly lastSlot: LastSlotFactor;
	readonly silenceWatch: SilenceWatch;
	readonly protocol: TargetProtocol;
	readonly journal: CallJournal;
	/** The requests that may have crashed targets. */
	readonly suspects: CrashSuspects;
	/** Told when a connection broke under a request. */
	readonly onBroken: (state: TargetState, signature: Digest) => void;
	/** Told when a target failed a request. */
	readonly onFailure: (state: TargetState) => void;
};

/** When a request that crashes targets may come back, in milliseconds. */
const barredReturnMs = 60_000;

/** Sends requests, one target at a time. */
export class SendDesk {
	readonly #options: SendDeskOptions;

	/**
	 * @param options - How requests are sent and who learns from it.
	 */
	constructor(options: SendDeskOptions) {
		this.#options = options;
	}

	/**
	 * Gets why a request must not be sent to any target.
	 *
	 * @param call - The request.
	 * @returns The failure; undefined if it may be sent.
	 */
	getBarred({exchange}: RelayCall): Failure | undefined {
		const {suspects, clock} = this.#options;
		if (suspects.isEmpty) {
			return undefined;
		}

		const signature = getRequestSignature(exchange);
		return suspects.isBarred(signature, clock.monotonicMs())
			? notRun(
					'no-target',
					'Targets ended each time they ran this request.',
					barredReturnMs,
				)
			: undefined;
	}

	/**
	 * Sends a request.
	 *
	 * @param call - The request.
	 * @param pick - The target and why it was picked.
	 * @param attempt - Counts the sends of the request from 1.
	 * @returns How the send ended.
	 */
	async send(
		call: RelayCall,
		{state, connection, expectedMs, askedCount, waitedMs}: PickedTarget,
		attempt: number,
	): Promise<SendResult> {
		const {clock, protocol, silenceWatch, journal} = this.#options;
		const {exchange, route, body, deadlineMs} = call;
		const {report} = state;
		const startedAtMs = clock.monotonicMs();
		const {load} = state;
		const slowness = report?.slowness ?? 1;
		const result = await new TargetSend({
			incoming: exchange.incoming,
			body,
			state,
			connection,
			protocol,
			clock,
			deadlineMs,
			silenceWatch: route.isIdempotent ? silenceWatch : undefined,
		}).run();
		const durationMs = clock.monotonicMs() - startedAtMs;
		if (
			result.kind === 'answered' &&
			result.answer.status < lowestFaultStatus
		) {
			this.#learn(call, {load, slots: state.slots}, durationMs / slowness);
		}

		this.#noteCrash(call, state, result);
		if (isTargetsFault(result)) {
			this.#options.onFailure(state);
		}

		journal.addSend(exchange, {
			attempt,
			target: state.registration.id,
			load,
			slots: state.slots,
			slowness,
			reportAgeMs: startedAtMs - (report?.receivedAtMs ?? startedAtMs),
			askedCount,
			waitedMs,
			expectedMs,
			durationMs,
			result,
		});
		return result;
	}

	#learn(
		{route, service}: RelayCall,
		{load, slots}: {readonly load: number; readonly slots: number},
		durationMs: number,
	): void {
		const {workTimes, lastSlot} = this.#options;
		const isLastSlot = load + 1 === slots;
		if (load + 1 < slots || slots === 1) {
			workTimes.add(route.name, durationMs);
		}

		if (load < slots) {
			const relativeMs =
				durationMs /
				this.#options.workTimes.getMs(route.name, route.targetLatencyMs);
			lastSlot.add(service, isLastSlot, relativeMs);
		}
	}

	/** A request under which a connection broke may have crashed the target. */
	#noteCrash(
		{exchange}: RelayCall,
		state: PickedTarget['state'],
		result: SendResult,
	): void {
		const {suspects, clock} = this.#options;
		if (result.kind === 'answered' && !suspects.isEmpty) {
			suspects.clear(getRequestSignature(exchange));
		}

		if (result.kind === 'broken' && result.cause === 'broken') {
			const brokenAtMs = clock.monotonicMs();
			const signature = getRequestSignature(exchange);
			this.#options.onBroken(state, signature);
			suspects.addIncident(signature, {
				life: state.registration.life,
				atMs: brokenAtMs,
				hasEnded: () =>
					state.unreachableAtMs > brokenAtMs &&
					state.lastContactAtMs < brokenAtMs,
			});
		}
	}
}
