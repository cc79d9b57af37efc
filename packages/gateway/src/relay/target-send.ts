/** Sends a request to the picked target and takes its whole answer. */

import {Buffer} from 'node:buffer';
import type {Readable} from 'node:stream';
import type {Clock} from '@bilberryscale/core';
import {
	getForwardedHeaders,
	TargetRequest,
	type Connection,
	type IncomingCall,
	type TargetAnswer,
} from '@bilberryscale/daemon/edge';
import type {TargetProtocol} from '../targets/target-protocol.js';
import type {TargetState} from '../targets/target-state.js';
import {collectBody} from './collect-body.js';
import type {BrokenCause, SendResult} from './send-result.js';
import type {SilenceWatch} from './silence-watch.js';

/** One send. */
export type TargetSendOptions = {
	readonly incoming: IncomingCall;
	readonly body: Buffer | undefined;
	readonly state: TargetState;
	readonly connection: Connection;
	readonly protocol: TargetProtocol;
	readonly clock: Clock;
	/** When the answer must be there, on the monotonic clock. */
	readonly deadlineMs: number;
	/** Ends sends to targets that are silent; only for requests that may run twice. */
	readonly silenceWatch: SilenceWatch | undefined;
};

/** A target ends work at the deadline itself; its own answer may come so much later, in milliseconds. */
const ownAnswerGraceMs = 80;
const lowestSuccess = 200;
const lowestRedirection = 300;
const lowestFault = 500;

class SendEnd extends Error {
	override readonly name = 'SendEnd';
	constructor(readonly reason: BrokenCause) {
		super(reason);
	}
}

/** One request on its way to one target. */
export class TargetSend {
	readonly #options: TargetSendOptions;
	readonly #request: TargetRequest;
	readonly #startedAtMs: number;
	#resolve: (result: SendResult) => void = () => undefined;
	#stopTimer: () => void = () => undefined;
	#stopWatch: () => void = () => undefined;
	#hasEnded = false;
	#isBad = false;

	/**
	 * @param options - What is sent where.
	 */
	constructor(options: TargetSendOptions) {
		this.#options = options;
		this.#startedAtMs = options.clock.monotonicMs();
		this.#request = new TargetRequest({
			onAnswer: (answer) => {
				this.#takeAnswer(answer);
			},
			onEnd: (error) => {
				this.#end(error);
			},
		});
	}

	/**
	 * Sends the request.
	 *
	 * @returns How it ended.
	 */
	async run(): Promise<SendResult> {
		return new Promise((resolve) => {
			this.#resolve = resolve;
			this.#start();
		});
	}

	#start(): void {
		const {clock, deadlineMs, incoming, state, connection, silenceWatch} =
			this.#options;
		const leftMs = deadlineMs - this.#startedAtMs;
		this.#stopTimer = clock.schedule(leftMs + ownAnswerGraceMs, () => {
			this.#cancel('overdue');
		});
		incoming.signal.addEventListener('abort', this.#onCallerGone, {once: true});
		if (incoming.signal.aborted) {
			this.#onCallerGone();
			return;
		}

		this.#stopWatch =
			silenceWatch?.watch(state, () => {
				this.#cancel('silent');
			}) ?? this.#stopWatch;
		state.addSend(this.#startedAtMs);
		connection.dispatch(
			{
				method: incoming.method,
				path: incoming.url,
				headers: this.#makeHeaders(leftMs),
				body: this.#options.body ?? null,
				idempotent: false,
			},
			this.#request,
		);
	}

	readonly #onCallerGone = (): void => {
		this.#cancel('caller-gone');
	};

	#makeHeaders(leftMs: number): Record<string, string | string[]> {
		const {incoming, protocol, state} = this.#options;
		const headers = getForwardedHeaders(incoming.headers);
		const {host} = incoming.headers;
		if (host !== undefined) {
			headers.host = host;
		}

		headers[protocol.requestIdHeader] = incoming.requestId;
		headers[protocol.deadlineHeader] = String(Math.max(1, Math.floor(leftMs)));
		const [name, value] = protocol.getExpectation(state.registration);
		headers[name] = value;
		return headers;
	}

	#takeAnswer(answer: TargetAnswer): void {
		const {protocol, state, clock} = this.#options;
		const {status, headers, body} = answer;
		const load = protocol.readLoad(headers, clock.monotonicMs());
		if (load === undefined) {
			state.addContact(clock.monotonicMs());
		} else {
			state.addReport(load);
		}

		if (protocol.isNotRun(status, headers)) {
			drain(body);
			this.#settle({kind: 'refused', status}, false);
			return;
		}

		const fault = this.#getFault(answer);
		if (fault !== undefined) {
			this.#isBad = true;
			drain(body);
			this.#settle(makeBroken('broken', true, fault), true);
			return;
		}

		if (Buffer.isBuffer(body)) {
			this.#deliver(answer, body);
			return;
		}

		body.on('error', () => undefined);
		collectBody(
			body,
			(bytes) => {
				this.#deliver(answer, bytes);
			},
			(rest) => {
				this.#deliver(answer, rest);
			},
		);
	}

	/** Gets why an answer is not this request's whole answer. */
	#getFault({status, headers}: TargetAnswer): string | undefined {
		const {protocol, incoming} = this.#options;
		const id = headers[protocol.requestIdHeader];
		if (id !== undefined && id !== incoming.requestId) {
			return `the answer belongs to request "${String(id)}"`;
		}

		if (headers['content-encoding'] !== undefined) {
			return 'the answer has an encoding that nobody asked for';
		}

		const isSuccess = status >= lowestSuccess && status < lowestRedirection;
		return isSuccess && !protocol.isSealed(headers)
			? `the answer with status ${status} has no seal`
			: undefined;
	}

	#deliver(
		{status, headers, isOpenEnded}: TargetAnswer,
		body: Buffer | Readable,
	): void {
		const answerHeaders = Buffer.isBuffer(body)
			? {...headers, 'content-length': String(body.length)}
			: headers;
		const answer = {status, headers: answerHeaders, body, isOpenEnded};
		this.#settle({kind: 'answered', answer}, status >= lowestFault);
	}

	#cancel(cause: BrokenCause): void {
		this.#request.cancel(new SendEnd(cause));
	}

	#end(error: Error | undefined): void {
		if (this.#hasEnded) {
			return;
		}

		this.#hasEnded = true;
		this.#stopTimer();
		this.#stopWatch();
		const {incoming, state, connection} = this.#options;
		incoming.signal.removeEventListener('abort', this.#onCallerGone);
		state.pool.release(connection, error === undefined && !this.#isBad);
		if (error !== undefined) {
			this.#settleError(error);
		}
	}

	#settleError(error: Error): void {
		const mayHaveRun = this.#request.isWritten;
		if (error instanceof SendEnd) {
			const {reason} = error;
			const isTargetsFault = reason === 'silent' || reason === 'overdue';
			this.#settle(
				makeBroken(reason, mayHaveRun, error.message),
				isTargetsFault,
			);
			return;
		}

		const cause = mayHaveRun ? 'broken' : 'unreachable';
		this.#settle(makeBroken(cause, mayHaveRun, error.message), true);
	}

	#settle(result: SendResult, hasFailed: boolean): void {
		const {state, clock} = this.#options;
		if (!(result.kind === 'broken' && result.cause === 'caller-gone')) {
			state.addOutcome(hasFailed, clock.monotonicMs());
		}

		this.#resolve(result);
	}
}

function makeBroken(
	cause: BrokenCause,
	mayHaveRun: boolean,
	detail: string,
): SendResult {
	return {kind: 'broken', cause, mayHaveRun, detail};
}

function drain(body: Buffer | Readable): void {
	if (!Buffer.isBuffer(body)) {
		body.on('error', () => undefined);
		body.resume();
	}
}
