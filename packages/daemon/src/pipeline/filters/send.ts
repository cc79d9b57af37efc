/** Sends a request to its target and receives the response head. */

import {Buffer} from 'node:buffer';
import {
	makeId,
	notRunFailure,
	possiblyRunFailure,
	targetHeaders,
	type TargetIncarnationId,
	type Clock,
	type Failure,
} from '@bilberryscale/core';
import type {
	LoadReport,
	OutcomeKind,
	TargetState,
} from '@bilberryscale/decisions';
import {Err, Ok} from 'ts-results-es';
import type {Dispatcher} from 'undici';
import type {TargetAllocator} from '../../dispatch/target-allocator.js';
import {getForwardedHeaders} from '../../http/forwarded-headers.js';
import {makeShutdownFailure} from '../../http/make-shutdown-failure.js';
import type {Connection} from '../../upstream/connection.js';
import type {ConnectionPools} from '../../upstream/connection-pools.js';
import type {TargetConnectionPool} from '../../upstream/target-connection-pool.js';
import {
	TargetRequest,
	type TargetAnswer,
} from '../../upstream/target-request.js';
import type {Exchange, FilterResult} from '../exchange.js';
import type {Filter} from '../filter.js';

/** The dependencies of the filter. */
export type SendOptions = {
	readonly allocator: TargetAllocator;
	readonly pools: ConnectionPools;
	readonly clock: Clock;
};

/** The lowest status that counts as a failure of the target. */
const minServerErrorStatus = 500;
const notRunState = 'not-run';

/**
 * Makes the last filter of a pipeline, which sends the request to the acquired target.
 *
 * @param options - The connection pools, the clock and the allocator that the target is released to.
 * @returns The filter.
 */
export function makeSendFilter(options: SendOptions): Filter {
	return async (exchange) =>
		new Promise((resolve) => {
			new Attempt(exchange, options, resolve).start();
		});
}

/** One attempt: one send of the request to one target. */
class Attempt {
	readonly #exchange: Exchange;
	readonly #options: SendOptions;
	readonly #resolve: (result: FilterResult) => void;
	readonly #target: TargetState;
	readonly #request: TargetRequest;
	readonly #startedAtMs: number;
	#pool: TargetConnectionPool | undefined;
	#connection: Connection | undefined;
	#cancelDeadline: () => void = () => undefined;
	#loadReport: LoadReport | undefined;
	/** Whether the connection has carried an answer before, so that a repeated one may come on it. */
	#isConnectionReused = false;
	#isRefused = false;
	#isServerError = false;
	/** Why the answer counts as none to this request; undefined for any other answer. */
	#rejection: MisattributedAnswerError | undefined;

	constructor(
		exchange: Exchange,
		options: SendOptions,
		resolve: (result: FilterResult) => void,
	) {
		this.#exchange = exchange;
		this.#options = options;
		this.#resolve = resolve;
		this.#target = exchange.target!;
		this.#startedAtMs = options.clock.monotonicMs();
		this.#request = new TargetRequest({
			onAnswer: (answer) => {
				this.#handleAnswer(answer);
			},
			onEnd: (error) => {
				this.#end(error);
			},
			onBeforeWrite() {
				if (exchange.isTooLate?.() === true) {
					return new ShutdownError();
				}

				exchange.unsettledCopies = undefined;
				return undefined;
			},
		});
	}

	start(): void {
		const {clock, pools} = this.#options;
		const {deadlineMs, isIdempotent} = this.#exchange.getIdentityOrThrow();
		const {signal} = this.#exchange.incoming;
		this.#pool = pools.getPool(this.#target.target);
		this.#connection = this.#pool.acquire(isIdempotent);
		this.#isConnectionReused = this.#connection.answeredAtMs !== undefined;
		this.#cancelDeadline = clock.schedule(
			deadlineMs - this.#startedAtMs,
			() => {
				this.#request.cancel(new DeadlineError());
			},
		);
		signal.addEventListener('abort', this.#onCallerDisconnected, {once: true});
		if (signal.aborted) {
			this.#onCallerDisconnected();
			return;
		}

		this.#connection.dispatch(this.#makeRequest(deadlineMs), this.#request);
	}

	readonly #onCallerDisconnected = (): void => {
		this.#request.cancel(new CallerDisconnectedError());
	};

	#makeRequest(deadlineMs: number): Dispatcher.DispatchOptions {
		const {incoming, bodyBytes} = this.#exchange;
		const {key, targetPath} = this.#exchange.getIdentityOrThrow();
		const headers = getForwardedHeaders(incoming.headers);
		headers[targetHeaders.requestId] = incoming.requestId;
		headers[targetHeaders.timeout] = String(
			Math.ceil(deadlineMs - this.#startedAtMs),
		);
		if (key !== undefined) {
			headers[targetHeaders.idempotencyKey] = key;
		}

		const hasBody = bodyBytes !== undefined && bodyBytes.length > 0;
		return {
			method: incoming.method,
			path: targetPath,
			headers,
			body: hasBody ? bodyBytes : null,
			idempotent: false,
		};
	}

	#handleAnswer(answer: TargetAnswer): void {
		const mixUp = this.#findMixUp(answer);
		if (mixUp !== undefined) {
			this.#reject(answer, mixUp);
			return;
		}

		this.#pool!.recordAnswer(this.#connection!);
		this.#loadReport = readLoadReport(answer, this.#options.clock);
		this.#isServerError = answer.status >= minServerErrorStatus;
		if (answer.headers[targetHeaders.runState] === notRunState) {
			this.#refuse(answer);
			return;
		}

		this.#resolve(Ok(answer));
	}

	/**
	 * Gets why an answer may belong to another request. A target needn't name the request that it answers, but a
	 * refusal that is believed lets a request that may have run be sent again.
	 */
	#findMixUp({headers}: TargetAnswer): string | undefined {
		const {requestId} = this.#exchange.incoming;
		const answeredId = headers[targetHeaders.requestId];
		if (answeredId === requestId) {
			return undefined;
		}

		if (answeredId !== undefined) {
			return `the answer belongs to request "${String(answeredId)}"`;
		}

		return this.#isConnectionReused &&
			headers[targetHeaders.runState] === notRunState
			? 'the refusal names no request, on a connection that has carried others'
			: undefined;
	}

	/** Fails the request in place of an answer that may be none to it, and closes the connection. */
	#reject({body}: TargetAnswer, mixUp: string): void {
		this.#rejection = new MisattributedAnswerError(mixUp);
		this.#resolve(Err(this.#makeFailure(this.#rejection)));
		if (!Buffer.isBuffer(body)) {
			body.on('error', () => undefined);
			body.destroy(this.#rejection);
		}
	}

	#refuse({body}: TargetAnswer): void {
		this.#isRefused = true;
		if (!Buffer.isBuffer(body)) {
			body.on('error', () => undefined);
			body.resume();
		}

		const {id} = this.#target.target;
		this.#resolve(
			Err(
				notRunFailure('target-refused', `Target "${id}" refused the request.`),
			),
		);
	}

	#end(transferError: Error | undefined): void {
		const error = transferError ?? this.#rejection;
		this.#cancelDeadline();
		const {signal} = this.#exchange.incoming;
		signal.removeEventListener('abort', this.#onCallerDisconnected);
		this.#pool!.release(this.#connection!, error === undefined);
		this.#release(error);
		if (error !== undefined) {
			this.#resolve(Err(this.#makeFailure(error)));
		}
	}

	#release(error: Error | undefined): void {
		const {dispatcher} = this.#exchange.getIdentityOrThrow();
		const {allocator, clock} = this.#options;
		const answeredAtMs = this.#loadReport?.receivedAtMs ?? clock.monotonicMs();
		allocator.release(dispatcher, this.#target, {
			kind: this.#getOutcome(error),
			latencyMs: answeredAtMs - this.#startedAtMs,
			...(this.#loadReport !== undefined && {report: this.#loadReport}),
		});
	}

	#getOutcome(error: Error | undefined): OutcomeKind {
		if (this.#isRefused) {
			return 'not-run';
		}

		if (error === undefined) {
			return this.#isServerError ? 'failed' : 'served';
		}

		if (
			error instanceof CallerDisconnectedError ||
			error instanceof ShutdownError
		) {
			return 'cancelled';
		}

		return this.#request.isWritten ? 'failed' : 'unreachable';
	}

	#makeFailure(error: Error): Failure {
		const {id} = this.#target.target;
		const makeFailure = this.#request.isWritten
			? possiblyRunFailure
			: notRunFailure;
		if (error instanceof DeadlineError) {
			return makeFailure(
				'deadline-exceeded',
				`Target "${id}" did not answer before the deadline.`,
			);
		}

		if (error instanceof ShutdownError) {
			return makeShutdownFailure();
		}

		if (error instanceof CallerDisconnectedError) {
			return makeFailure('internal', 'The caller has gone.');
		}

		return this.#request.isWritten
			? possiblyRunFailure(
					'target-failed',
					`Target "${id}" failed: ${error.message}`,
				)
			: notRunFailure(
					'target-unreachable',
					`Target "${id}" took no connection.`,
				);
	}
}

function readLoadReport({headers}: TargetAnswer, clock: Clock): LoadReport {
	const bootId = headers[targetHeaders.bootId];
	const inFlight = Number(headers[targetHeaders.load] ?? 0);
	return {
		inFlight: Number.isFinite(inFlight) ? inFlight : 0,
		bootId:
			typeof bootId === 'string'
				? makeId<TargetIncarnationId>(bootId)
				: undefined,
		receivedAtMs: clock.monotonicMs(),
	};
}

class DeadlineError extends Error {
	override readonly name = 'DeadlineError';
}

/** The host shuts down before the target could answer; nothing was sent. */
class ShutdownError extends Error {
	override readonly name = 'ShutdownError';
}

class CallerDisconnectedError extends Error {
	override readonly name = 'CallerDisconnectedError';
}

class MisattributedAnswerError extends Error {
	override readonly name = 'MisattributedAnswerError';
}
