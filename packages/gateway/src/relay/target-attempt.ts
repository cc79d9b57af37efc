/** Sends a request to one target and reads the response. */

import {Buffer} from 'node:buffer';
import type {Readable} from 'node:stream';
import type {Clock} from '@bilberryscale/core';
import {
	getForwardedHeaders,
	ResponseFloodError,
	TargetRequest,
	type Connection,
	type IncomingCall,
	type TargetAnswer,
} from '@bilberryscale/daemon/edge';
import type {AccountHeaders} from '../accounts/account-headers.js';
import type {AvailabilityNotice} from '../targets/target-availability.js';
import type {TargetProtocol} from '../targets/target-protocol.js';
import type {TargetState} from '../targets/target-state.js';
import type {WarmUpPermit} from '../warm-up/warm-up-permit.js';
import {collectBody} from './collect-body.js';
import {discardBody} from './discard-body.js';
import type {FailureCause, AttemptResult} from './attempt-result.js';
import type {SilenceDetector} from './silence-detector.js';

/** The request, the target and the dependencies of an attempt. */
export type TargetAttemptOptions = {
	readonly incoming: IncomingCall;
	readonly body: Buffer | undefined;
	readonly state: TargetState;
	readonly connection: Connection;
	readonly protocol: TargetProtocol;
	readonly clock: Clock;
	/** When the response must be complete, on the monotonic clock, in milliseconds. */
	readonly deadlineMs: number;
	/** What replaces the caller's headers about client accounts. */
	readonly accountHeaders: AccountHeaders;
	/** Called with what the response says about the target's availability, and whether it names the request. */
	readonly onNotice: (
		notice: AvailabilityNotice | undefined,
		namesRequest: boolean,
	) => void;
	/** Tells when the target stops responding; set only for requests that may run twice. */
	readonly silenceDetector: SilenceDetector | undefined;
	/** After which time without a response the attempt has stalled, in milliseconds; undefined for never. */
	readonly stallTimeoutMs: number | undefined;
	/**
	 * Makes sure that the request can be sent to another target at once, so that an
	 * attempt may be cancelled whose target is silent or has stalled.
	 */
	readonly secureRetry: () => Promise<boolean>;
	/** Aborts when another copy of the request has been answered; undefined if there is none. */
	readonly supersededSignal?: AbortSignal | undefined;
	/** Permits the request while the target is cold; checked when the connection is open. */
	readonly warmUpPermit?: WarmUpPermit | undefined;
	/** Checks whether the target could no longer answer before the host shuts down; asked when the connection is open. */
	readonly isTooLate?: (() => boolean) | undefined;
	/** Called just before the request is written, with the time on the monotonic clock, in milliseconds. */
	readonly onWrite: (writtenAtMs: number) => void;
};

/**
 * How long after the deadline a response is still accepted, in milliseconds.
 * Targets stop work at the deadline themselves and then respond.
 */
export const deadlineResponseGraceMs = 80;
/** Time between two tries to find another target for a request whose target is silent or has stalled, in milliseconds. */
const retrySecuringIntervalMs = 400;
/** The largest body without a length that is buffered until it is complete, in bytes: if this process ended midway, the part that a caller has would look whole. */
const maxCloseDelimitedBytes = 4_194_304;
/** What a body that is passed on as it comes holds at most, in the buffers from the target to the caller, in bytes. */
const streamBytes = 131_072;
const minSuccessStatus = 200;
const minRedirectStatus = 300;
const minServerErrorStatus = 500;
/** Statuses whose responses have no body. */
const noContentStatus = 204;
const bodilessStatuses = new Set([noContentStatus, 304]);

/** Causes that say nothing about the target. */
const unfinishedCauses: ReadonlySet<FailureCause> = new Set([
	'caller-gone',
	'superseded',
	'too-late',
	'cold',
]);

class AttemptCancelledError extends Error {
	override readonly name = 'AttemptCancelledError';
	constructor(readonly reason: FailureCause) {
		super(reason);
	}
}

/** One attempt to get a response from one target. */
export class TargetAttempt {
	readonly #options: TargetAttemptOptions;
	readonly #request: TargetRequest;
	readonly #startedAtMs: number;
	/** Whether the connection has carried a response before. */
	readonly #isConnectionReused: boolean;
	#resolve: (result: AttemptResult) => void = () => undefined;
	#cancelTimer: () => void = () => undefined;
	#cancelStallTimer: () => void = () => undefined;
	#stopWatching: () => void = () => undefined;
	#hasEnded = false;
	#hasAnswer = false;
	#isSecuringRetry = false;
	/** When it may next try to secure a retry, on the monotonic clock, in milliseconds. */
	#securesRetryAtMs = Number.NEGATIVE_INFINITY;
	#isSettled = false;
	#isResponseInvalid = false;
	#writtenAtMs: number | undefined;

	/**
	 * @param options - The request, the target and the dependencies.
	 */
	constructor(options: TargetAttemptOptions) {
		this.#options = options;
		this.#startedAtMs = options.clock.monotonicMs();
		this.#isConnectionReused = options.connection.answeredAtMs !== undefined;
		this.#request = new TargetRequest({
			onAnswer: (answer) => {
				this.#onAnswer(answer);
			},
			onEnd: (error) => {
				this.#end(error);
			},
			onBeforeWrite: () => this.#checkBeforeWrite(),
		});
	}

	/** When the request was written to the connection, on the monotonic clock, in milliseconds; undefined if it was not. */
	get writtenAtMs(): number | undefined {
		return this.#writtenAtMs;
	}

	/**
	 * Sends the request and waits for the result.
	 *
	 * @returns The result.
	 */
	async run(): Promise<AttemptResult> {
		return new Promise((resolve) => {
			this.#resolve = resolve;
			this.#start();
		});
	}

	#start(): void {
		const {clock, deadlineMs, incoming, state, connection} = this.#options;
		const {silenceDetector, supersededSignal} = this.#options;
		const remainingMs = deadlineMs - this.#startedAtMs;
		this.#cancelTimer = clock.schedule(
			remainingMs + deadlineResponseGraceMs,
			() => {
				this.#cancel('overdue');
			},
		);
		incoming.signal.addEventListener('abort', this.#onCallerAbort, {
			once: true,
		});
		if (incoming.signal.aborted) {
			this.#onCallerAbort();
			return;
		}

		supersededSignal?.addEventListener(
			'abort',
			() => {
				this.#cancel('superseded');
			},
			{once: true},
		);
		this.#stopWatching =
			silenceDetector?.watch(state, () => {
				void this.#leave('silent');
			}) ?? this.#stopWatching;
		this.#startStallTimer(this.#options.stallTimeoutMs);
		connection.dispatch(
			{
				method: incoming.method,
				path: incoming.url,
				headers: this.#buildHeaders(remainingMs),
				body: this.#options.body ?? null,
				idempotent: false,
			},
			this.#request,
		);
	}

	#startStallTimer(delayMs: number | undefined): void {
		if (delayMs === undefined) {
			return;
		}

		this.#cancelStallTimer = this.#options.clock.schedule(delayMs, () => {
			void this.#leave('stalled');
			this.#startStallTimer(retrySecuringIntervalMs);
		});
	}

	/** Cancels the attempt if the request can go to another target at once; until then its target may still respond. */
	async #leave(cause: FailureCause): Promise<void> {
		const {clock, secureRetry} = this.#options;
		const nowMs = clock.monotonicMs();
		if (this.#isSecuringRetry || nowMs < this.#securesRetryAtMs) {
			return;
		}

		this.#isSecuringRetry = true;
		this.#securesRetryAtMs = nowMs + retrySecuringIntervalMs;
		const isSecured = await secureRetry();
		this.#isSecuringRetry = false;
		if (isSecured && !this.#hasAnswer) {
			this.#cancel(cause);
		}
	}

	#checkBeforeWrite(): AttemptCancelledError | undefined {
		const {clock, isTooLate, state, warmUpPermit} = this.#options;
		if (isTooLate?.() === true) {
			return new AttemptCancelledError('too-late');
		}

		const nowMs = clock.monotonicMs();
		if (state.isCold(nowMs) && !state.warmUp.confirm(warmUpPermit)) {
			return new AttemptCancelledError('cold');
		}

		this.#writtenAtMs = nowMs;
		this.#options.onWrite(nowMs);
		return undefined;
	}

	readonly #onCallerAbort = (): void => {
		this.#cancel('caller-gone');
	};

	#buildHeaders(remainingMs: number): Record<string, string | string[]> {
		const {incoming, protocol, state} = this.#options;
		const headers = getForwardedHeaders(incoming.headers);
		const {host} = incoming.headers;
		if (host !== undefined) {
			headers.host = host;
		}

		headers[protocol.requestIdHeader] = incoming.requestId;
		headers[protocol.deadlineHeader] = String(
			Math.max(1, Math.floor(remainingMs)),
		);
		for (const [name, value] of Object.entries(this.#options.accountHeaders)) {
			if (value === undefined) {
				Reflect.deleteProperty(headers, name);
			} else {
				headers[name] = value;
			}
		}

		const [name, value] = protocol.getExpectationHeader(state.registration);
		headers[name] = value;
		return headers;
	}

	#onAnswer(answer: TargetAnswer): void {
		const {protocol, state, clock, incoming, onNotice} = this.#options;
		const {status, headers, body} = answer;
		this.#cancelStallTimer();
		this.#hasAnswer = true;
		const mixUp = this.#findMixUp(answer);
		if (mixUp !== undefined) {
			this.#rejectAnswer(body, mixUp);
			return;
		}

		const load = protocol.readLoad(headers, clock.monotonicMs());
		onNotice(
			protocol.readAvailability(status, headers),
			headers[protocol.requestIdHeader] === incoming.requestId,
		);
		if (load === undefined) {
			state.addContact(clock.monotonicMs());
		} else {
			state.addReport(load);
		}

		if (protocol.isNotRun(status, headers)) {
			this.#settle({kind: 'refused', status, headers}, false);
			discardBody(body, this.#options.connection);
			return;
		}

		const fault = this.#findAnswerFault(answer);
		if (fault !== undefined) {
			this.#rejectAnswer(body, fault);
			return;
		}

		if (Buffer.isBuffer(body)) {
			incoming.lease?.add(body.length);
			this.#settleAnswered(answer, body);
			return;
		}

		body.on('error', () => undefined);
		const {lease} = incoming;
		collectBody(body, {
			onComplete: (bytes) => {
				this.#settleAnswered(answer, bytes);
			},
			onOversized: (remaining) => {
				lease?.add(streamBytes);
				this.#settleAnswered(answer, remaining);
			},
			canStreamEarly: !answer.isCloseDelimited,
			...(answer.isCloseDelimited && {maxBytes: maxCloseDelimitedBytes}),
			lease,
		});
	}

	#rejectAnswer(body: Buffer | Readable, fault: string): void {
		this.#isResponseInvalid = true;
		this.#settle(makeFailedResult('broken', true, fault), true);
		discardBody(body, this.#options.connection);
	}

	/**
	 * Gets the reason why a response belongs to another request: targets may send
	 * a response again, late, on a connection that is in use again, or to a request
	 * that had another connection. One that names no request is believed only as
	 * the first on its connection, and no success is.
	 */
	#findMixUp({status, headers}: TargetAnswer): string | undefined {
		const {protocol, incoming} = this.#options;
		const id = headers[protocol.requestIdHeader];
		if (id !== undefined) {
			return id === incoming.requestId
				? undefined
				: `the answer belongs to request "${String(id)}"`;
		}

		return this.#isConnectionReused || isSuccess(status)
			? `the answer with status ${status} names no request`
			: undefined;
	}

	/** Gets the reason why a response is not a complete success; undefined if there is none. */
	#findAnswerFault({status, headers}: TargetAnswer): string | undefined {
		const {protocol} = this.#options;
		if (headers['content-encoding'] !== undefined) {
			return 'the answer has an encoding that nobody asked for';
		}

		return isSuccess(status) && !protocol.isSealed(headers)
			? `the answer with status ${status} has no seal`
			: undefined;
	}

	#settleAnswered(
		{status, headers, isCloseDelimited}: TargetAnswer,
		body: Buffer | Readable,
	): void {
		const hasNoBody =
			this.#options.incoming.method === 'HEAD' || bodilessStatuses.has(status);
		const answerHeaders =
			Buffer.isBuffer(body) && !hasNoBody
				? {...headers, 'content-length': String(body.length)}
				: {...headers};
		if (status === noContentStatus) {
			// Other answers without a body state the length of the body that another request would get.
			delete answerHeaders['content-length'];
		}

		const answer = {
			status,
			headers: answerHeaders,
			body,
			isCloseDelimited: isCloseDelimited && !hasNoBody,
		};
		this.#settle({kind: 'answered', answer}, status >= minServerErrorStatus);
	}

	#cancel(cause: FailureCause): void {
		this.#request.cancel(new AttemptCancelledError(cause));
	}

	#end(error: Error | undefined): void {
		if (this.#hasEnded) {
			return;
		}

		this.#hasEnded = true;
		this.#cancelTimer();
		this.#cancelStallTimer();
		this.#stopWatching();
		const {incoming, state, connection} = this.#options;
		incoming.signal.removeEventListener('abort', this.#onCallerAbort);
		state.addEnd();
		state.pool.release(
			connection,
			error === undefined && !this.#isResponseInvalid,
		);
		if (error !== undefined) {
			this.#settleError(error);
		}
	}

	#settleError(error: Error): void {
		const mayHaveRun = this.#request.isWritten;
		if (error instanceof AttemptCancelledError) {
			const {reason} = error;
			const isTargetFault =
				reason === 'silent' || reason === 'stalled' || reason === 'overdue';
			this.#settle(
				makeFailedResult(reason, mayHaveRun, error.message),
				isTargetFault,
			);
			return;
		}

		const sentCause =
			error instanceof ResponseFloodError ? 'flooded' : 'broken';
		const cause = mayHaveRun ? sentCause : 'unreachable';
		this.#settle(makeFailedResult(cause, mayHaveRun, error.message), true);
	}

	#settle(result: AttemptResult, hasFailed: boolean): void {
		if (this.#isSettled) {
			return;
		}

		this.#isSettled = true;
		const {state, clock} = this.#options;
		const isUnfinished =
			result.kind === 'failed' && unfinishedCauses.has(result.cause);
		if (!isUnfinished) {
			state.addOutcome(hasFailed, clock.monotonicMs());
		}

		this.#resolve(result);
	}
}

function isSuccess(status: number): boolean {
	return status >= minSuccessStatus && status < minRedirectStatus;
}

function makeFailedResult(
	cause: FailureCause,
	mayHaveRun: boolean,
	detail: string,
): AttemptResult {
	return {kind: 'failed', cause, mayHaveRun, detail};
}
