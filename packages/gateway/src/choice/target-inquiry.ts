/** Asks a target for its load just before a request is sent. */

import {Buffer} from 'node:buffer';
import type {Clock} from '@bilberryscale/core';
import {
	TargetRequest,
	type Connection,
	type TargetAnswer,
} from '@bilberryscale/daemon/edge';
import type {EventLog} from '../records/event-log.js';
import type {TargetProtocol} from '../targets/target-protocol.js';
import type {TargetState} from '../targets/target-state.js';

/** What an inquiry works with. */
export type TargetInquiryOptions = {
	readonly state: TargetState;
	readonly healthPath: string;
	readonly protocol: TargetProtocol;
	readonly clock: Clock;
	readonly log: EventLog;
	/** Runs once, when the target has answered or will not. */
	readonly onEnd: (inquiry: TargetInquiry) => void;
};

/** After this time without an answer a target counts as silent, in milliseconds. */
const silenceMs = 120;
/** A new connection to a target waits for a slot there, so it has longer, in milliseconds. */
const newConnectionSilenceMs = 600;
/** How long a target is left alone after it was silent, in milliseconds. */
const silentPauseMs = 600;
/** How long a target is left alone after its address answered for another, in milliseconds. */
const misplacedPauseMs = 1000;
/** A connection that has been idle for longer may be closed by the target, in milliseconds. */
const mostIdleMs = 8000;
/** How long a target is left alone after it took no connection, in milliseconds. */
const unreachablePauseMs = 250;

/** One question to one target. */
export class TargetInquiry {
	readonly state: TargetState;
	/** Whether the target has answered as itself. */
	hasAnswered = false;
	hasEnded = false;
	readonly #options: TargetInquiryOptions;
	readonly #request: TargetRequest;
	#connection: Connection | undefined;
	#cancelTimer: () => void = () => undefined;

	/**
	 * @param options - Whom to ask.
	 */
	constructor(options: TargetInquiryOptions) {
		this.state = options.state;
		this.#options = options;
		this.#request = new TargetRequest({
			onAnswer: (answer) => {
				this.#takeAnswer(answer);
			},
			onEnd: (error) => {
				this.#end(error);
			},
		});
	}

	/** Sends the question. */
	start(): void {
		this.#connection = this.state.link.take(mostIdleMs);
		if (this.#connection === undefined) {
			this.hasEnded = true;
			return;
		}

		const isNew = this.#connection.answeredAtMs === undefined;
		const patienceMs = isNew ? newConnectionSilenceMs : silenceMs;
		this.#cancelTimer = this.#options.clock.schedule(patienceMs, () => {
			this.#noteSilence();
		});
		this.#connection.dispatch(
			{method: 'GET', path: this.#options.healthPath},
			this.#request,
		);
	}

	#takeAnswer({status, headers, body}: TargetAnswer): void {
		if (!Buffer.isBuffer(body)) {
			body.on('error', () => undefined);
			body.resume();
		}

		const {protocol, clock} = this.#options;
		const nowMs = clock.monotonicMs();
		const {listed} = this.state;
		const health = protocol.readHealth(status, headers, listed, nowMs);
		if (health.answeredBy === listed.id) {
			this.hasAnswered = true;
			this.state.addHealth(health);
			return;
		}

		if (health.answeredBy !== undefined) {
			this.#avoid('its address answers for another', misplacedPauseMs);
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
			this.state.link.giveBack(this.#connection, this.hasAnswered);
		}

		if (error !== undefined && !(error instanceof SilenceError)) {
			this.state.unreachableAtMs = this.#options.clock.monotonicMs();
			this.#avoid(error.message, unreachablePauseMs);
		}

		this.#options.onEnd(this);
	}

	#avoid(reason: string, forMs: number): void {
		const {clock, log} = this.#options;
		const {state} = this;
		const nowMs = clock.monotonicMs();
		state.avoidUntilMs = nowMs + forMs;
		log.write('target left alone', {
			target: state.listed.id,
			reason,
			forMs,
			load: state.load,
			slots: state.slots,
			heardAgoMs: Math.round(nowMs - state.heardAtMs),
			unansweredCount: state.unansweredCount,
		});
	}

	#noteSilence(): void {
		this.state.unansweredCount++;
		this.#avoid('silent', silentPauseMs);
		this.state.link.dropIdle();
		this.#request.cancel(new SilenceError());
	}
}

class SilenceError extends Error {
	override readonly name = 'SilenceError';
}
