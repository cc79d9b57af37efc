/** Finds out what a request asks for and how long its caller waits. */

import type {Buffer} from 'node:buffer';
import {
	notRun,
	type Clock,
	type Failure,
	type ServiceName,
} from '@bilberryscale/core';
import {BodyReader, type Exchange} from '@bilberryscale/daemon/edge';
import {Err, Ok, type Result} from 'ts-results-es';
import type {PlanHolder} from '../plan/plan-holder.js';
import type {CallerLimits, Route} from '../plan/routing-plan.js';
import type {TrafficSplitter} from '../plan/traffic-splitter.js';
import type {CallerPatience} from './caller-patience.js';

/** A request with all that was found out about it. */
export type RelayCall = {
	readonly exchange: Exchange;
	readonly route: Route;
	readonly service: ServiceName;
	/** When the answer must be there, on the monotonic clock, in milliseconds. */
	readonly deadlineMs: number;
	readonly body: Buffer | undefined;
	/** Whether its caller seems to have been refused before. */
	readonly isReturning: boolean;
};

/** What the reader works with. */
export type CallReaderOptions = {
	readonly clock: Clock;
	readonly splits: TrafficSplitter;
	readonly patience: CallerPatience;
	/** The header in which a caller says how long it waits, in milliseconds. */
	readonly deadlineHeader: string;
	readonly plans: PlanHolder;
};

/** A body may pause so long, in milliseconds. */
const bodyIdleMs = 5000;
/** Callers come back within this part of the time that they have left. */
const returnShare = 0.3;
const shortestReturnMs = 50;
const longestReturnMs = 1000;

/** Reads requests. */
export class CallReader {
	readonly #options: CallReaderOptions;

	/**
	 * @param options - The plan in force and what is known of callers.
	 */
	constructor(options: CallReaderOptions) {
		this.#options = options;
	}

	/**
	 * Finds the route of a request and reads its body.
	 *
	 * @param exchange - The request.
	 * @returns What it asks for, or why it is refused.
	 */
	async read(exchange: Exchange): Promise<Result<RelayCall, Failure>> {
		const {plans} = this.#options;
		const plan = plans.plan ?? (await plans.waitForPlan());
		if (plan === undefined) {
			return Err(notRun('not-ready', 'This host has no plan yet.'));
		}

		const {headers, url, receivedAtMs} = exchange.incoming;
		const route = plan.table.getRoute(headers.host ?? '', url);
		if (route === undefined) {
			return Err(
				notRun(
					'service-unknown',
					`No route for "${headers.host ?? ''}${url}" in version ${plan.version}.`,
				),
			);
		}

		const deadlineMs = receivedAtMs + this.#getTimeMs(exchange, route);
		const body = await this.#readBody(exchange, plan.limits, deadlineMs);
		const service = this.#options.splits.pick(route);
		return body.map((bytes) => {
			exchange.bodyBytes = bytes;
			const isReturning = this.#options.patience.isReturning(
				route.name,
				this.#getGivenMs(exchange),
			);
			return {exchange, route, service, deadlineMs, body: bytes, isReturning};
		});
	}

	#getTimeMs(exchange: Exchange, {timeoutMs}: Route): number {
		return Math.min(this.#getGivenMs(exchange) ?? timeoutMs, timeoutMs);
	}

	/** Gets how long the caller says that it waits, in milliseconds. */
	#getGivenMs({incoming}: Exchange): number | undefined {
		const given = Number(incoming.headers[this.#options.deadlineHeader]);
		return given > 0 ? given : undefined;
	}

	async #readBody(
		exchange: Exchange,
		{bodyBytes}: CallerLimits,
		deadlineMs: number,
	): Promise<Result<Buffer | undefined, Failure>> {
		const {headers, body} = exchange.incoming;
		const length = headers['content-length'];
		if (length === undefined && headers['transfer-encoding'] === undefined) {
			return Ok(undefined);
		}

		if (Number(length ?? 0) > bodyBytes) {
			return Err(
				notRun('body-too-large', `The body has over ${bodyBytes} bytes.`),
			);
		}

		const bounds = {
			clock: this.#options.clock,
			idleMs: bodyIdleMs,
			limitBytes: bodyBytes,
			deadlineMs,
		};
		return new BodyReader(body, bounds).read();
	}

	/**
	 * Tells the caller to come back while it still waits.
	 *
	 * @param call - The request.
	 * @param failure - Why it is refused.
	 * @returns The failure with a time to come back.
	 */
	addReturn({deadlineMs, exchange}: RelayCall, failure: Failure): Failure {
		const {clock} = this.#options;
		const givenMs = this.#getGivenMs(exchange);
		const endMs =
			givenMs === undefined
				? deadlineMs
				: exchange.incoming.receivedAtMs + givenMs;
		const leftMs = endMs - clock.monotonicMs();
		const retryAfterMs = Math.max(shortestReturnMs, leftMs * returnShare);
		return {...failure, retryAfterMs: Math.min(retryAfterMs, longestReturnMs)};
	}
}
