/** Sends a call to its target and takes the head of the answer. */

import type {Readable} from 'node:stream';
import {
	makeId,
	notRun,
	perhapsRun,
	targetHeaders,
	type BootId,
	type Clock,
	type Failure,
} from '@bilberryscale/core';
import type {
	LoadReport,
	OutcomeKind,
	TargetState,
} from '@bilberryscale/decisions';
import {Err, Ok} from 'ts-results-es';
import {errors, type Dispatcher} from 'undici';
import type {CallDesk} from '../../dispatch/call-desk.js';
import {getForwardedHeaders} from '../../http/forwarded-headers.js';
import type {ConnectionPools} from '../../upstream/connection-pools.js';
import type {Exchange, FilterResult} from '../exchange.js';
import type {Filter} from '../filter.js';

/** What the filter works with. */
export type SendOptions = {
	readonly desk: CallDesk;
	readonly pools: ConnectionPools;
	readonly clock: Clock;
};

type Attempt = {
	readonly exchange: Exchange;
	readonly target: TargetState;
	readonly startedAtMs: number;
	readonly controller: AbortController;
	readonly release: (kind: OutcomeKind, report?: LoadReport) => void;
};

/** From this status on an answer tells of a fault of the target. */
const lowestFaultStatus = 500;

const neverSentCodes = new Set([
	'ECONNREFUSED',
	'EHOSTUNREACH',
	'ENETUNREACH',
	'UND_ERR_CONNECT_TIMEOUT',
]);

/**
 * Makes the last filter of the way.
 *
 * @param options - The connections and the desk that gets the target back.
 * @returns The filter.
 */
export function makeSendFilter(options: SendOptions): Filter {
	return async (exchange) => {
		const {clock} = options;
		const attempt = startAttempt(exchange, options);
		const {deadlineMs} = exchange.getIdentityOrThrow();
		const cancelDeadline = clock.schedule(
			deadlineMs - attempt.startedAtMs,
			() => {
				attempt.controller.abort(new DeadlineError());
			},
		);
		const abort = () => {
			attempt.controller.abort();
		};

		exchange.incoming.signal.addEventListener('abort', abort, {once: true});
		const cleanUp = () => {
			cancelDeadline();
			exchange.incoming.signal.removeEventListener('abort', abort);
		};

		try {
			const response = await send(attempt, options);
			return takeAnswer(attempt, response, cleanUp, clock);
		} catch (error) {
			cleanUp();
			return takeError(attempt, error as Error);
		}
	};
}

function startAttempt(exchange: Exchange, options: SendOptions): Attempt {
	const {desk, clock} = options;
	const {dispatcher} = exchange.getIdentityOrThrow();
	const target = exchange.target!;
	const startedAtMs = clock.monotonicMs();
	let isReleased = false;
	let headAtMs: number | undefined;
	return {
		exchange,
		target,
		startedAtMs,
		controller: new AbortController(),
		release(kind, report) {
			if (isReleased) {
				return;
			}

			isReleased = true;
			headAtMs ??= report?.receivedAtMs ?? clock.monotonicMs();
			desk.release(dispatcher, target, {
				kind,
				latencyMs: headAtMs - startedAtMs,
				...(report !== undefined && {report}),
			});
		},
	};
}

async function send(
	attempt: Attempt,
	options: SendOptions,
): Promise<Dispatcher.ResponseData> {
	const {exchange, target, controller, startedAtMs} = attempt;
	const {incoming, bodyBytes} = exchange;
	const identity = exchange.getIdentityOrThrow();
	const pool = options.pools.getPool(target.target);
	return pool.request({
		method: incoming.method,
		path: identity.targetPath,
		headers: {
			...getForwardedHeaders(incoming.headers),
			[targetHeaders.requestId]: incoming.requestId,
			[targetHeaders.timeout]: String(
				Math.ceil(identity.deadlineMs - startedAtMs),
			),
			...(identity.key !== undefined && {
				[targetHeaders.idempotencyKey]: identity.key,
			}),
		},
		body: bodyBytes === undefined || bodyBytes.length === 0 ? null : bodyBytes,
		signal: controller.signal,
		idempotent: false,
	});
}

function takeAnswer(
	attempt: Attempt,
	response: Dispatcher.ResponseData,
	cleanUp: () => void,
	clock: Clock,
): FilterResult {
	const report = readReport(response, clock);
	if (response.headers[targetHeaders.runState] === 'not-run') {
		cleanUp();
		response.body.resume();
		attempt.release('not-run', report);
		return Err(
			notRun(
				'target-refused',
				`Target "${attempt.target.target.id}" refused the request.`,
			),
		);
	}

	const {body} = response;
	body.once('close', () => {
		cleanUp();
		const isWhole = body.readableEnded;
		const isServed = isWhole && response.statusCode < lowestFaultStatus;
		attempt.release(isServed ? 'served' : 'failed', report);
	});
	return Ok({
		status: response.statusCode,
		headers: response.headers,
		body,
	});
}

function readReport(
	response: Dispatcher.ResponseData,
	clock: Clock,
): LoadReport {
	const bootId = response.headers[targetHeaders.bootId];
	const inFlight = Number(response.headers[targetHeaders.load] ?? 0);
	return {
		inFlight: Number.isFinite(inFlight) ? inFlight : 0,
		bootId: typeof bootId === 'string' ? makeId<BootId>(bootId) : undefined,
		receivedAtMs: clock.monotonicMs(),
	};
}

function takeError(attempt: Attempt, error: Error): FilterResult {
	const {target} = attempt.target;
	const neverSent = wasNeverSent(error);
	if (neverSent) {
		attempt.release('unreachable');
		return Err(
			notRun('target-unreachable', `Target "${target.id}" took no connection.`),
		);
	}

	if (attempt.exchange.incoming.signal.aborted) {
		attempt.release('cancelled');
		return Err(perhapsRun('internal', 'The caller has gone.'));
	}

	attempt.release('failed');
	return Err(describeFailure(error, target.id));
}

function wasNeverSent(error: Error): boolean {
	const {code} = error as NodeJS.ErrnoException;
	return (
		error instanceof errors.ConnectTimeoutError ||
		(code !== undefined && neverSentCodes.has(code))
	);
}

function describeFailure(error: Error, targetId: string): Failure {
	return error instanceof DeadlineError
		? perhapsRun(
				'deadline-exceeded',
				`Target "${targetId}" did not answer before the deadline.`,
			)
		: perhapsRun(
				'target-failed',
				`Target "${targetId}" failed: ${error.message}`,
			);
}

class DeadlineError extends Error {
	override readonly name = 'DeadlineError';
}
