/** Probes the health path of a target for its load. */

import type {Clock} from '@bilberryscale/core';
import {
	ResponseFloodError,
	TargetRequest,
	type Connection,
	type TargetAnswer,
} from '@bilberryscale/daemon/edge';
import type {RegisteredTarget} from '../plan/registered-target.js';
import type {EventLog} from '../records/event-log.js';
import {discardBody} from '../relay/discard-body.js';
import type {AvailabilityNotice} from '../targets/target-availability.js';
import type {TargetProtocol} from '../targets/target-protocol.js';
import type {TargetState} from '../targets/target-state.js';

/** The target of a probe and the dependencies. */
export type TargetProbeOptions = {
	readonly state: TargetState;
	readonly healthPath: string;
	readonly protocol: TargetProtocol;
	readonly clock: Clock;
	readonly log: EventLog;
	/** Called with what the response says about the target's availability. */
	readonly onNotice: (
		state: TargetState,
		notice: AvailabilityNotice | undefined,
	) => void;
	/** Called with the target that has responded at the address, whether it is the probed one or not. */
	readonly onIdentified?:
		((registration: RegisteredTarget, answeredBy: string) => void) | undefined;
	/** Called once, when a probe that was sent has ended with or without a response. */
	readonly onEnd: (probe: TargetProbe) => void;
};

/** Time for a response on a connection that has carried one before, in milliseconds. */
const probeTimeoutMs = 120;
/** Time for a response on a new connection, which may wait for a slot at the target, in milliseconds. */
const newConnectionTimeoutMs = 600;
/** How much of the body of a response is read, in bytes; nothing of it is used. */
const maxBodyBytes = 1_048_576;
/** How long a target is avoided after a probe timed out, in milliseconds. */
const timeoutAvoidMs = 600;
/** How long a target is avoided after another target responded at its address, in milliseconds. */
const wrongTargetAvoidMs = 1000;
/** Maximum idle time of a reused connection, in milliseconds; targets may close those idle for longer. */
const maxIdleMs = 8000;
/** How long a target is avoided after its connection failed, in milliseconds. */
const unreachableAvoidMs = 250;

/** A single probe of a single target. */
export class TargetProbe {
	readonly state: TargetState;
	/** Whether the probed target itself has responded, not another one at its address. */
	hasAnswered = false;
	hasEnded = false;
	readonly #options: TargetProbeOptions;
	readonly #request: TargetRequest;
	#connection: Connection | undefined;
	#cancelTimer: () => void = () => undefined;

	/**
	 * @param options - The target and the dependencies.
	 */
	constructor(options: TargetProbeOptions) {
		this.state = options.state;
		this.#options = options;
		this.#request = new TargetRequest({
			onAnswer: (answer) => {
				this.#handleAnswer(answer);
			},
			onEnd: (error) => {
				this.#end(error);
			},
		});
	}

	/** Sends the probe; if no connection is available, only sets `hasEnded`. */
	start(): void {
		this.#connection = this.state.pool.acquire(maxIdleMs);
		if (this.#connection === undefined) {
			this.hasEnded = true;
			return;
		}

		const {registration, availability} = this.state;
		if (availability.limit.isInForce) {
			availability.limit.addProbe(this.#options.clock.monotonicMs());
			this.#options.log.write('limited target probed', {
				target: registration.id,
				perSecond: availability.limit.perSecond,
			});
		}

		const isNew = this.#connection.answeredAtMs === undefined;
		const timeoutMs = isNew ? newConnectionTimeoutMs : probeTimeoutMs;
		this.#cancelTimer = this.#options.clock.schedule(timeoutMs, () => {
			this.#onTimeout();
		});
		this.#connection.dispatch(
			{method: 'GET', path: this.#options.healthPath},
			this.#request,
		);
	}

	#handleAnswer({status, headers, body}: TargetAnswer): void {
		discardBody(body, this.#connection, maxBodyBytes);
		const {protocol, clock} = this.#options;
		const nowMs = clock.monotonicMs();
		const {registration} = this.state;
		const health = protocol.readHealth(status, headers, registration, nowMs);
		if (health.answeredBy !== undefined) {
			this.#options.onIdentified?.(registration, health.answeredBy);
		}

		if (health.answeredBy === registration.id) {
			this.hasAnswered = true;
			this.state.addHealth(health);
			this.#options.onNotice(
				this.state,
				protocol.readAvailability(status, headers),
			);
			return;
		}

		if (health.answeredBy !== undefined) {
			this.#avoid('the address belongs to another target', wrongTargetAvoidMs);
		}
	}

	#end(error: Error | undefined): void {
		this.#cancelTimer();
		const isFirst = !this.hasEnded;
		this.hasEnded = true;
		this.hasAnswered &&= error === undefined;
		if (!isFirst) {
			return;
		}

		if (this.#connection !== undefined) {
			this.state.pool.release(this.#connection, this.hasAnswered);
		}

		if (error !== undefined && !(error instanceof ProbeTimeoutError)) {
			if (!(error instanceof ResponseFloodError)) {
				this.state.addUnreachable(this.#options.clock.monotonicMs());
			}

			this.#avoid(error.message, unreachableAvoidMs);
		}

		this.#options.onEnd(this);
	}

	#avoid(reason: string, forMs: number): void {
		const {clock, log} = this.#options;
		const {state} = this;
		const nowMs = clock.monotonicMs();
		state.avoidUntilMs = nowMs + forMs;
		log.write('target avoided', {
			target: state.registration.id,
			reason,
			forMs,
			load: state.load,
			slots: state.slots,
			heardAgoMs: Math.round(nowMs - state.lastContactAtMs),
			unansweredCount: state.unansweredCount,
		});
	}

	#onTimeout(): void {
		this.state.addUnanswered();
		this.#avoid('silent', timeoutAvoidMs);
		this.state.pool.closeIdle();
		this.#request.cancel(new ProbeTimeoutError());
	}
}

class ProbeTimeoutError extends Error {
	override readonly name = 'ProbeTimeoutError';
}
