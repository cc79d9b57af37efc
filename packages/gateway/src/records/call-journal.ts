/** One log line for each decision about a request, and its figures. */

import type {Failure} from '@bilberryscale/core';
import type {Exchange, FilterResult} from '@bilberryscale/daemon/edge';
import type {Route} from '../plan/routing-plan.js';
import type {SendResult} from '../relay/send-result.js';
import type {EventLog} from './event-log.js';
import type {GatewayMetrics} from './gateway-metrics.js';

/** A send and what decided it. */
export type SendRecord = {
	readonly attempt: number;
	readonly target: string;
	/** The requests that the target held. */
	readonly load: number;
	readonly slots: number;
	readonly slowness: number;
	/** How old the load was at the send, in milliseconds. */
	readonly reportAgeMs: number;
	/** How many targets were asked. */
	readonly askedCount: number;
	/** How long the request waited for a better target, in milliseconds. */
	readonly waitedMs: number;
	readonly expectedMs: number;
	readonly durationMs: number;
	readonly result: SendResult;
};

/** What the journal writes to. */
export type CallJournalOptions = {
	readonly log: EventLog;
	readonly metrics: GatewayMetrics;
	/** Gets the version of the plan in force. */
	readonly getPlanVersion: () => number | undefined;
	readonly getNowMs: () => number;
};

/** Records requests. */
export class CallJournal {
	readonly #options: CallJournalOptions;

	/**
	 * @param options - Where lines and figures go.
	 */
	constructor(options: CallJournalOptions) {
		this.#options = options;
	}

	/**
	 * Adds a request that was refused before it had a route.
	 *
	 * @param exchange - The request.
	 * @param failure - Why it was refused.
	 */
	addRefusal(exchange: Exchange, failure: Failure): void {
		this.#addLine(exchange, 'request refused', undefined, {
			outcome: failure.kind,
			ran: failure.ran,
			detail: failure.detail,
		});
		this.#options.metrics.addRequest('none', failure.kind, undefined);
	}

	/**
	 * Adds a send.
	 *
	 * @param exchange - The request.
	 * @param record - The send and what decided it.
	 */
	addSend(exchange: Exchange, {result, ...record}: SendRecord): void {
		const outcome = describeSend(result);
		this.#options.metrics.addSend(outcome, record.durationMs);
		this.#options.log.write('request sent', {
			requestId: exchange.incoming.requestId,
			...record,
			reportAgeMs: round(record.reportAgeMs),
			expectedMs: round(record.expectedMs),
			waitedMs: round(record.waitedMs),
			durationMs: round(record.durationMs),
			outcome,
			...(result.kind === 'broken' && {
				mayHaveRun: result.mayHaveRun,
				detail: result.detail,
			}),
		});
	}

	/**
	 * Adds the end of a request that had a route.
	 *
	 * @param exchange - The request.
	 * @param route - Its route.
	 * @param end - Its answer, or why there is none.
	 */
	addEnd(exchange: Exchange, route: Route, end: FilterResult): void {
		const durationMs =
			this.#options.getNowMs() - exchange.incoming.receivedAtMs;
		const outcome = end.isOk() ? `status-${end.value.status}` : end.error.kind;
		this.#options.metrics.addRequest(route.name, outcome, durationMs);
		this.#addLine(exchange, 'request ended', durationMs, {
			route: route.name,
			outcome,
			...(end.isErr() && {
				ran: end.error.ran,
				detail: end.error.detail,
				retryAfterMs: round(end.error.retryAfterMs ?? 0),
			}),
		});
	}

	#addLine(
		{incoming}: Exchange,
		message: string,
		durationMs: number | undefined,
		fields: Readonly<Record<string, unknown>>,
	): void {
		this.#options.log.write(message, {
			requestId: incoming.requestId,
			planVersion: this.#options.getPlanVersion(),
			...(durationMs !== undefined && {durationMs: round(durationMs)}),
			...fields,
		});
	}
}

function describeSend(result: SendResult): string {
	switch (result.kind) {
		case 'answered': {
			return `status-${result.answer.status}`;
		}

		case 'refused': {
			return `refused-${result.status}`;
		}

		case 'broken': {
			return result.cause;
		}
	}
}

function round(value: number): number {
	return Math.round(value * 10) / 10;
}
