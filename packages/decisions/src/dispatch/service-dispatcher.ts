/** Decides when calls are sent and to which target, without doing any I/O. */

import type {Service} from '@bilberryscale/bundle';
import {
	notRunFailure,
	type AuditSink,
	type DataCentreId,
	type Failure,
	type RandomSource,
} from '@bilberryscale/core';
import type {SelectionPolicy} from '../choice/selection-policy.js';
import type {FleetView} from '../fleet/fleet-view.js';
import {RetryBudget} from '../retry/retry-budget.js';
import type {Outcome} from '../target/outcome.js';
import {getTargetEntries, type ServicePlan} from '../target/target-entries.js';
import {TargetPool} from '../target/target-pool.js';
import type {TargetState} from '../target/target-state.js';
import {AdmissionQueue} from './admission-queue.js';
import type {Call, Grant, OfferResult, Refusal, Settlement} from './call.js';

/** The configuration and dependencies of a dispatcher. */
export type ServiceDispatcherOptions = ServicePlan & {
	/** The data centre of this host. */
	readonly dataCentre: DataCentreId;
	readonly chooseTarget: SelectionPolicy;
	readonly random: RandomSource;
	readonly audit: AuditSink;
	/** The monotonic time in milliseconds. */
	readonly nowMs: number;
};

/**
 * If targets refuse this share of attempts or more, the whole service counts
 * as overloaded and gets no retries.
 */
const overloadedRefusalShare = 0.5;

/** Dispatches the calls of one service on one host. */
export class ServiceDispatcher {
	#service: Service;
	readonly #dataCentre: DataCentreId;
	readonly #targetPool: TargetPool;
	readonly #queue: AdmissionQueue;
	readonly #retryBudget: RetryBudget;

	/**
	 * @param options - The configuration and dependencies.
	 */
	constructor(options: ServiceDispatcherOptions) {
		const {service, chooseTarget, random, audit} = options;
		this.#service = service;
		this.#dataCentre = options.dataCentre;
		this.#queue = new AdmissionQueue(service);
		this.#retryBudget = new RetryBudget(service.retry.share);
		this.#targetPool = new TargetPool({
			chooseTarget,
			random,
			audit(kind, {target}, cause) {
				audit({kind, subject: target.id, cause});
			},
		});
		this.setPlan(options, options.nowMs);
	}

	/** The service as configured in the bundle in force. */
	get service(): Service {
		return this.#service;
	}

	/**
	 * Applies a changed bundle; targets that remain keep their state.
	 *
	 * @param plan - The service and its data centres in the new bundle.
	 * @param nowMs - The monotonic time in milliseconds.
	 * @returns The waiting calls that were granted or refused.
	 */
	setPlan(plan: ServicePlan, nowMs: number): readonly Settlement[] {
		const {service} = plan;
		this.#service = service;
		this.#queue.setService(service);
		this.#retryBudget.setShare(service.retry.share);
		this.#targetPool.setTargets(
			getTargetEntries(plan, this.#dataCentre),
			nowMs,
		);
		return this.#targetPool.inServiceCount === 0
			? this.refuseAll(this.#makeNoTargetFailure())
			: this.settle(nowMs);
	}

	/**
	 * Updates the size of the fleet.
	 *
	 * @param fleet - The fleet as this host sees it.
	 * @param nowMs - The monotonic time in milliseconds.
	 */
	setFleet(fleet: FleetView, nowMs: number): void {
		this.#targetPool.setFleet(fleet, nowMs);
	}

	/**
	 * Decides about a new call or a retry.
	 *
	 * @param call - The call.
	 * @param nowMs - The monotonic time in milliseconds.
	 * @returns The decision, and the waiting calls that were granted or refused.
	 */
	offer(call: Call, nowMs: number): OfferResult {
		if (this.#targetPool.inServiceCount === 0) {
			const failure = this.#makeNoTargetFailure();
			return {decision: {kind: 'refusal', call, failure}, settled: []};
		}

		const settled = this.settle(nowMs);
		if (call.triedTargets.length > 0) {
			return {decision: this.#grantRetry(call, nowMs), settled};
		}

		const grant = this.#queue.size === 0 && this.#tryGrant(call, nowMs);
		if (grant) {
			return {decision: grant, settled};
		}

		const result = this.#queue.enqueue(call, nowMs);
		return {...result, settled: [...settled, ...result.settled]};
	}

	/**
	 * Records the end of an attempt and settles the waiting calls that can be
	 * sent now.
	 *
	 * @param target - The target of the attempt.
	 * @param outcome - The outcome of the attempt.
	 * @param nowMs - The monotonic time in milliseconds.
	 * @returns The waiting calls that were granted or refused.
	 */
	finish(
		target: TargetState,
		outcome: Outcome,
		nowMs: number,
	): readonly Settlement[] {
		this.#targetPool.release(target, outcome, nowMs);
		return this.settle(nowMs);
	}

	/**
	 * Grants the waiting calls that can be sent and refuses those that have
	 * waited too long.
	 *
	 * @param nowMs - The monotonic time in milliseconds.
	 * @returns The calls that were granted or refused.
	 */
	settle(nowMs: number): readonly Settlement[] {
		this.#targetPool.refreshDue(nowMs);
		const settled: Settlement[] = this.#queue.refuseExpired(nowMs);
		while (this.#queue.size > 0) {
			const target = this.#targetPool.acquire([], nowMs);
			if (target === undefined) {
				break;
			}

			const call = this.#queue.shift(nowMs)!;
			this.#retryBudget.addFirstAttempt();
			settled.push({kind: 'grant', call, target});
		}

		return settled;
	}

	/** Gets when `settle` must run next, in milliseconds, if any call waits. */
	getNextWakeMs(): number | undefined {
		const expiryMs = this.#queue.getNextExpiryMs();
		if (expiryMs === undefined) {
			return undefined;
		}

		return Math.min(expiryMs, this.#targetPool.getNextRefreshMs() ?? expiryMs);
	}

	/**
	 * Removes a waiting call whose caller has disconnected.
	 *
	 * @param call - The call.
	 */
	withdraw(call: Call): void {
		this.#queue.remove(call);
	}

	/**
	 * Refuses all waiting calls.
	 *
	 * @param failure - The reason.
	 * @returns The refusals.
	 */
	refuseAll(failure: Failure): readonly Refusal[] {
		const calls = this.#queue.removeAll();
		return calls.map((call) => ({kind: 'refusal', call, failure}));
	}

	/**
	 * Takes a retry from the budget if one is allowed.
	 *
	 * @returns Whether the budget and the refusal rate of the service allow one.
	 */
	takeRetry(): boolean {
		const {refusedShare} = this.#targetPool.averages;
		return refusedShare < overloadedRefusalShare && this.#retryBudget.tryTake();
	}

	/**
	 * Gets the delay after which a refused call should be retried: the predicted
	 * wait in the queue, within bounds.
	 *
	 * @param call - The call.
	 * @param nowMs - The monotonic time in milliseconds.
	 * @returns The delay in milliseconds.
	 */
	getRetryAfterMs(call: Call, nowMs: number): number {
		return this.#queue.getRetryAfterMs(call, nowMs);
	}

	#tryGrant(call: Call, nowMs: number): Grant | undefined {
		const target = this.#targetPool.acquire(call.triedTargets, nowMs);
		if (target === undefined) {
			return undefined;
		}

		if (call.triedTargets.length === 0) {
			this.#retryBudget.addFirstAttempt();
		}

		return {kind: 'grant', call, target};
	}

	/** Grants a retry at once or refuses it; retries do not wait. */
	#grantRetry(call: Call, nowMs: number): Settlement {
		const grant = this.#tryGrant(call, nowMs);
		const retryAfterMs = this.getRetryAfterMs(call, nowMs);
		const detail = `No other target of "${this.#service.name}" is free.`;
		return (
			grant ?? {
				kind: 'refusal',
				call,
				failure: notRunFailure('target-refused', detail, retryAfterMs),
			}
		);
	}

	#makeNoTargetFailure(): Failure {
		return notRunFailure(
			'no-target',
			`No target of "${this.#service.name}" is in.`,
		);
	}
}
