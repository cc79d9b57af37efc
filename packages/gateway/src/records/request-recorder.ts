/** Writes a log line and updates metrics for each step of a request. */

import type {Failure} from '@bilberryscale/core';
import type {
	Exchange,
	FilterResult,
	IncomingCall,
} from '@bilberryscale/daemon/edge';
import type {AccountRefusal} from '../accounts/account-check.js';
import type {RetryBudgetState} from '../limits/retry-budget.js';
import type {ActivePlan} from '../plan/plan-holder.js';
import type {Route} from '../plan/routing-plan.js';
import type {AttemptResult} from '../relay/attempt-result.js';
import type {EventLog} from './event-log.js';
import type {GatewayMetrics} from './gateway-metrics.js';

/** An attempt, its result and the data that its target was picked by. */
export type AttemptRecord = {
	readonly attempt: number;
	readonly service: string;
	readonly target: string;
	/** The name of the client account; undefined without one. */
	readonly account: string | undefined;
	/** How many requests the target held when the attempt started. */
	readonly load: number;
	readonly slots: number;
	/** The target's slowdown factor. */
	readonly slowness: number;
	/** The limit that the target had named, in requests per second; undefined without one. */
	readonly limitPerSecond: number | undefined;
	/** How much longer the target was warming up when the attempt started, in milliseconds; undefined if it was warm. */
	readonly coldForMs: number | undefined;
	/** Time from the start of the attempt until the request was written, in milliseconds; undefined if it was not. */
	readonly writtenAfterMs: number | undefined;
	/** Age of the target's load report when the attempt started, in milliseconds. */
	readonly reportAgeMs: number;
	/** How many targets were probed. */
	readonly askedCount: number;
	/** How long picking the target took, including waits for a better one, in milliseconds. */
	readonly waitedMs: number;
	/** Expected latency, in milliseconds. */
	readonly expectedMs: number;
	readonly durationMs: number;
	readonly result: AttemptResult;
};

/** Two copies of a request and how they have ended. */
export type HedgeRecord = {
	readonly route: string;
	/** The target of the first copy. */
	readonly first: string;
	/** The target of the second copy. */
	readonly second: string;
	/** The copy that brought the answer; undefined if neither did. */
	readonly winner: 'first' | 'second' | undefined;
	/** After which time the second copy was due, in milliseconds. */
	readonly delayMs: number;
	/** The time of the copies that brought no answer, in milliseconds. */
	readonly wastedMs: number;
};

/** A decision whether a request is sent to another target, and the figures it was based on. */
export type RetryRecord = RetryBudgetState & {
	readonly service: string;
	readonly isAllowed: boolean;
	/** What other hosts have lent for it. */
	readonly loan: number;
};

/** Dependencies of the recorder. */
export type RequestRecorderOptions = {
	readonly log: EventLog;
	readonly metrics: GatewayMetrics;
	/** Gets the version of the routing plan in force. */
	readonly getPlanVersion: () => number | undefined;
	readonly getNowMs: () => number;
};

/** Records requests and their attempts in the event log and the metrics. */
export class RequestRecorder {
	readonly #options: RequestRecorderOptions;

	/**
	 * @param options - The log, the metrics and the getters of the plan version and the time.
	 */
	constructor(options: RequestRecorderOptions) {
		this.#options = options;
	}

	/**
	 * Records a request that was refused before it had a route.
	 *
	 * @param exchange - The request.
	 * @param failure - The reason for the refusal.
	 */
	recordRefusal(exchange: Exchange, failure: Failure): void {
		this.#writeLine(exchange, 'request refused', undefined, {
			outcome: failure.kind,
			ran: failure.ran,
			detail: failure.detail,
		});
		this.#options.metrics.recordRequest('none', failure.kind, undefined);
	}

	/**
	 * Records why a request was refused for its key, which appears nowhere itself.
	 *
	 * @param incoming - The request.
	 * @param refusal - The reason.
	 * @param plan - The plan by which it was refused.
	 * @param ageMs - The time since the store confirmed the plan, in milliseconds.
	 */
	recordAccountRefusal(
		{requestId}: IncomingCall,
		{reason, keyDigestStart}: AccountRefusal,
		{version}: ActivePlan,
		ageMs: number,
	): void {
		this.#options.metrics.recordAccountRefusal(reason);
		this.#options.log.write('key refused', {
			requestId,
			planVersion: version,
			reason,
			keyDigestStart,
			knowledgeAgeMs: Math.round(ageMs),
		});
	}

	/**
	 * Records an attempt.
	 *
	 * @param exchange - The request.
	 * @param record - The attempt.
	 */
	recordAttempt(exchange: Exchange, {result, ...record}: AttemptRecord): void {
		const outcome = getAttemptOutcome(result);
		this.#options.metrics.recordAttempt(outcome, record.durationMs);
		if (record.coldForMs !== undefined && record.writtenAfterMs !== undefined) {
			this.#options.metrics.recordColdSend(record.service);
		}

		this.#options.log.write('request sent', {
			requestId: exchange.incoming.requestId,
			...record,
			reportAgeMs: roundToTenth(record.reportAgeMs),
			expectedMs: roundToTenth(record.expectedMs),
			waitedMs: roundToTenth(record.waitedMs),
			coldForMs: roundOptional(record.coldForMs),
			writtenAfterMs: roundOptional(record.writtenAfterMs),
			durationMs: roundToTenth(record.durationMs),
			outcome,
			...(result.kind === 'failed' && {
				mayHaveRun: result.mayHaveRun,
				detail: result.detail,
			}),
		});
	}

	/**
	 * Records whether a request may be sent to another target.
	 *
	 * @param exchange - The request.
	 * @param record - The decision.
	 */
	recordRetryDecision(
		{incoming}: Exchange,
		{tokens, capacity, loan, ...record}: RetryRecord,
	): void {
		const {metrics, log} = this.#options;
		metrics.recordRetryDecision(record.service, record.isAllowed);
		metrics.recordRetryTokens(record.service, tokens, capacity);
		log.write('retry decided', {
			requestId: incoming.requestId,
			...record,
			tokens: roundToTenth(tokens),
			capacity: roundToTenth(capacity),
			loan: roundToTenth(loan),
		});
	}

	/** Counts a second copy of a request; its attempt is recorded when it ends. */
	recordHedgeSent(): void {
		this.#options.metrics.recordHedgeSent();
	}

	/**
	 * Records that a second copy of a request was due but not sent.
	 *
	 * @param exchange - The request.
	 * @param reason - The reason.
	 */
	recordHedgeObstacle({incoming}: Exchange, reason: string): void {
		this.#options.metrics.recordHedgeObstacle(reason);
		this.#options.log.write('hedge not sent', {
			requestId: incoming.requestId,
			reason,
		});
	}

	/**
	 * Records two copies of a request, when both have ended.
	 *
	 * @param exchange - The request.
	 * @param record - The copies.
	 */
	recordHedge({incoming}: Exchange, record: HedgeRecord): void {
		const {winner = 'none', wastedMs} = record;
		this.#options.metrics.recordHedgeResult(winner === 'second', wastedMs);
		this.#options.log.write('request hedged', {
			requestId: incoming.requestId,
			...record,
			winner,
			delayMs: roundToTenth(record.delayMs),
			wastedMs: roundToTenth(wastedMs),
		});
	}

	/**
	 * Records the completion of a request that had a route.
	 *
	 * @param exchange - The request.
	 * @param route - Its route.
	 * @param result - Its response, or the reason for the failure.
	 * @param account - The name of its client account; undefined without one.
	 */
	recordCompletion(
		exchange: Exchange,
		route: Route,
		result: FilterResult,
		account?: string,
	): void {
		const durationMs =
			this.#options.getNowMs() - exchange.incoming.receivedAtMs;
		const outcome = result.isOk()
			? `status-${result.value.status}`
			: result.error.kind;
		this.#options.metrics.recordRequest(route.name, outcome, durationMs);
		this.#writeLine(exchange, 'request ended', durationMs, {
			route: route.name,
			account,
			outcome,
			...(result.isErr() && {
				ran: result.error.ran,
				detail: result.error.detail,
				retryAfterMs: roundToTenth(result.error.retryAfterMs ?? 0),
			}),
		});
	}

	#writeLine(
		{incoming}: Exchange,
		message: string,
		durationMs: number | undefined,
		fields: Readonly<Record<string, unknown>>,
	): void {
		this.#options.log.write(message, {
			requestId: incoming.requestId,
			planVersion: this.#options.getPlanVersion(),
			...(durationMs !== undefined && {durationMs: roundToTenth(durationMs)}),
			...fields,
		});
	}
}

function getAttemptOutcome(result: AttemptResult): string {
	switch (result.kind) {
		case 'answered': {
			return `status-${result.answer.status}`;
		}

		case 'refused': {
			return `refused-${result.status}`;
		}

		case 'failed': {
			return result.cause;
		}
	}
}

function roundOptional(value: number | undefined): number | undefined {
	return value === undefined ? undefined : roundToTenth(value);
}

function roundToTenth(value: number): number {
	return Math.round(value * 10) / 10;
}
