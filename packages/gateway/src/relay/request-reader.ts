/** Reads a request's body and finds its route, service and deadline. */

import type {Buffer} from 'node:buffer';
import {
	notRunFailure,
	type Clock,
	type Failure,
	type ServiceName,
} from '@bilberryscale/core';
import {
	BodyReader,
	makeShutdownFailure,
	type Exchange,
} from '@bilberryscale/daemon/edge';
import {Err, Ok, type Result} from 'ts-results-es';
import type {ReturnTime} from '../capacity/return-schedule.js';
import type {ClientAccount} from '../plan/client-account.js';
import type {AccountCheck} from '../accounts/account-check.js';
import type {ActivePlan, PlanHolder} from '../plan/plan-holder.js';
import type {CallerLimits, Route} from '../plan/routing-plan.js';
import type {TrafficSplitter} from '../plan/traffic-splitter.js';
import type {ReturningCallerDetector} from './returning-caller-detector.js';
import type {ShutdownLimit} from './shutdown-limit.js';

/** A request with its body, route, service and deadline. */
export type RoutedRequest = {
	readonly exchange: Exchange;
	readonly route: Route;
	readonly service: ServiceName;
	/** When the response must be complete, on the monotonic clock, in milliseconds. */
	readonly deadlineMs: number;
	/** Whether another host has forwarded it. */
	readonly isForwarded?: boolean;
	readonly body: Buffer | undefined;
	/** Whether the caller probably repeats a request that was refused. */
	readonly isReturning: boolean;
	/** Estimated time from the caller's first attempt to this one, in milliseconds; 0 for a first attempt. */
	readonly elapsedMs: number;
	/** The client account whose key it bears; undefined if the plan has none or the route is public. */
	readonly account?: ClientAccount | undefined;
	/** The plan by which the account was last checked. */
	readonly plan?: ActivePlan;
	/** Whether a plan with client accounts has applied to it, so that targets don't get the caller's headers about them. */
	readonly hasAccounts?: boolean;
	/** The priority of the client account, or else of the route; 0 is the highest. */
	readonly priority: number;
};

/** Dependencies of the reader. */
export type RequestReaderOptions = {
	readonly clock: Clock;
	readonly trafficSplitter: TrafficSplitter;
	readonly returningCallerDetector: ReturningCallerDetector;
	/** The header that holds the caller's timeout in milliseconds. */
	readonly deadlineHeader: string;
	readonly plans: PlanHolder;
	/** Promises a return time to a refused caller; returns undefined if its service has no schedule. */
	readonly bookReturn: (
		request: RoutedRequest,
		remainingMs: number,
	) => ReturnTime | undefined;
	readonly accountCheck: AccountCheck;
	/** Gets the time since the store confirmed the plan in force, in milliseconds. */
	readonly getSnapshotAgeMs: () => number;
	/** Gets the maximum time until a published plan is in force, in milliseconds. */
	readonly getMaxChangeDelayMs: () => number;
	readonly shutdownLimit: Pick<ShutdownLimit, 'getExpectedMs' | 'isTooLate'>;
};

/** Maximum pause between parts of a body, in milliseconds. */
const maxBodyPauseMs = 5000;
/** Share of the caller's remaining time after which it should retry. */
const retryAfterShare = 0.3;
const minRetryAfterMs = 50;
const maxRetryAfterMs = 1000;
/** The time in which a host whose plan is outdated reads the store, or the caller finds another host, in milliseconds. */
const outdatedRetryAfterMs = 300;

/** Reads requests and routes them by the plan in force. */
export class RequestReader {
	readonly #options: RequestReaderOptions;

	/**
	 * @param options - The dependencies.
	 */
	constructor(options: RequestReaderOptions) {
		this.#options = options;
	}

	/**
	 * Finds the route, the client account and the service of a request, and reads its body.
	 *
	 * @param exchange - The request.
	 * @param isForwarded - Whether another host has forwarded it.
	 * @returns The routed request, or the reason for a refusal.
	 */
	async read(
		exchange: Exchange,
		isForwarded: boolean,
	): Promise<Result<RoutedRequest, Failure>> {
		const {plans} = this.#options;
		const plan = plans.plan ?? (await plans.waitForPlan());
		if (plan === undefined) {
			return Err(notRunFailure('not-ready', 'This host has no plan yet.'));
		}

		const {headers, url, receivedAtMs} = exchange.incoming;
		const route = plan.routeTable.getRoute(headers.host ?? '', url);
		if (route === undefined) {
			return Err(this.#makeUnknownRouteFailure(exchange, plan));
		}

		const account = this.#options.accountCheck.check(
			exchange.incoming,
			route,
			plan,
		);
		if (account.isErr()) {
			return account;
		}

		const deadlineMs = receivedAtMs + this.#getTimeoutMs(exchange, route);
		exchange.isTooLate = () =>
			this.#options.shutdownLimit.isTooLate({route, deadlineMs, isForwarded});
		exchange.getExpectedMs = () =>
			this.#options.shutdownLimit.getExpectedMs(route);
		if (exchange.isTooLate()) {
			return Err(makeShutdownFailure());
		}

		const body = await this.#readBody(exchange, plan.limits, deadlineMs);
		const service = this.#options.trafficSplitter.pick(route);
		return body.map((bytes) => {
			exchange.bodyBytes = bytes;
			const elapsedMs = this.#options.returningCallerDetector.getElapsedMs(
				route.name,
				this.#getCallerTimeoutMs(exchange),
			);
			return {
				exchange,
				route,
				service,
				deadlineMs,
				isForwarded,
				body: bytes,
				isReturning: elapsedMs > 0,
				elapsedMs,
				account: account.value,
				priority: account.value?.priority ?? route.priority,
				plan,
				hasAccounts: plan.accounts !== undefined,
			};
		});
	}

	/**
	 * Makes the failure of a request without a route. Callers take an unknown route as
	 * final, so a host whose plan may be outdated asks them to come back instead.
	 */
	#makeUnknownRouteFailure(
		{incoming}: Exchange,
		{version}: ActivePlan,
	): Failure {
		const {getSnapshotAgeMs, getMaxChangeDelayMs} = this.#options;
		const detail = `No route for "${incoming.headers.host ?? ''}${incoming.url}" in version ${version}`;
		const ageMs = getSnapshotAgeMs();
		return ageMs > getMaxChangeDelayMs()
			? notRunFailure(
					'not-ready',
					`${detail}, which was last confirmed ${Math.round(ageMs)} ms ago.`,
					outdatedRetryAfterMs,
				)
			: notRunFailure('service-unknown', `${detail}.`);
	}

	#getTimeoutMs(exchange: Exchange, {timeoutMs}: Route): number {
		return Math.min(this.#getCallerTimeoutMs(exchange) ?? timeoutMs, timeoutMs);
	}

	/** Gets the timeout that the caller sent, in milliseconds; undefined without a valid one. */
	#getCallerTimeoutMs({incoming}: Exchange): number | undefined {
		const timeoutMs = Number(incoming.headers[this.#options.deadlineHeader]);
		return timeoutMs > 0 ? timeoutMs : undefined;
	}

	async #readBody(
		exchange: Exchange,
		{maxBodyBytes}: CallerLimits,
		deadlineMs: number,
	): Promise<Result<Buffer | undefined, Failure>> {
		const {headers, body} = exchange.incoming;
		const length = headers['content-length'];
		if (length === undefined && headers['transfer-encoding'] === undefined) {
			return Ok(undefined);
		}

		if (Number(length ?? 0) > maxBodyBytes) {
			return Err(
				notRunFailure(
					'body-too-large',
					`The body has over ${maxBodyBytes} bytes.`,
				),
			);
		}

		exchange.incoming.requestBody?.();
		const bounds = {
			clock: this.#options.clock,
			idleMs: maxBodyPauseMs,
			limitBytes: maxBodyBytes,
			deadlineMs,
			lease: exchange.incoming.lease,
		};
		return new BodyReader(body, bounds).read();
	}

	/**
	 * Adds a retry delay that lets the caller retry before its own deadline, unless
	 * it is known when a retry can succeed. Where the service has a return schedule,
	 * the delay is the caller's turn in it.
	 *
	 * @param request - The request.
	 * @param failure - The reason for the refusal.
	 * @returns The failure with the retry delay, or marked as futile to retry.
	 */
	addRetryAfter(request: RoutedRequest, failure: Failure): Failure {
		const {deadlineMs, exchange} = request;
		if (failure.retryAfterMs !== undefined) {
			return failure;
		}

		const {clock, bookReturn} = this.#options;
		const callerTimeoutMs = this.#getCallerTimeoutMs(exchange);
		const callerDeadlineMs =
			callerTimeoutMs === undefined
				? deadlineMs
				: exchange.incoming.receivedAtMs + callerTimeoutMs;
		const remainingMs = callerDeadlineMs - clock.monotonicMs();
		const returnTime = bookReturn(request, remainingMs);
		if (returnTime !== undefined) {
			return returnTime.kind === 'none'
				? {...failure, isRetryFutile: true}
				: {...failure, retryAfterMs: returnTime.delayMs};
		}

		const retryAfterMs = Math.max(
			minRetryAfterMs,
			remainingMs * retryAfterShare,
		);
		return {...failure, retryAfterMs: Math.min(retryAfterMs, maxRetryAfterMs)};
	}
}

/**
 * Checks whether a response can no longer be on time for the caller, who was refused before.
 *
 * @param request - The request.
 * @param serviceTimeMs - The typical service time of such requests, in milliseconds.
 * @returns Whether the caller has waited too long since its first attempt.
 */
export function isOverdue(
	{elapsedMs, route}: RoutedRequest,
	serviceTimeMs: number,
): boolean {
	return elapsedMs > 0 && elapsedMs + serviceTimeMs > route.targetLatencyMs;
}
