/** Decides which calls of one service go where and when, without any I/O. */

import type {Service} from '@bilberryscale/bundle';
import {
	notRun,
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
import {Admission} from './admission.js';
import type {Call, Grant, OfferResult, Refusal, Settlement} from './call.js';

/** What a dispatcher works with. */
export type ServiceDispatcherOptions = ServicePlan & {
	/** The data centre of this host. */
	readonly dataCentre: DataCentreId;
	readonly chooseTarget: SelectionPolicy;
	readonly random: RandomSource;
	readonly audit: AuditSink;
	/** The monotonic time in milliseconds. */
	readonly nowMs: number;
};

/** From this share of refusals on the service counts as refusing as a whole. */
const refusingShare = 0.5;

/** The decisions of one host about one service. */
export class ServiceDispatcher {
	#service: Service;
	readonly #dataCentre: DataCentreId;
	readonly #roster: TargetPool;
	readonly #admission: Admission;
	readonly #retries: RetryBudget;

	/**
	 * @param options - The service and the policies.
	 */
	constructor(options: ServiceDispatcherOptions) {
		const {service, chooseTarget, random, audit} = options;
		this.#service = service;
		this.#dataCentre = options.dataCentre;
		this.#admission = new Admission(service);
		this.#retries = new RetryBudget(service.retry.share);
		this.#roster = new TargetPool({
			chooseTarget,
			random,
			audit(kind, {target}, cause) {
				audit({kind, subject: target.id, cause});
			},
		});
		this.setPlan(options, options.nowMs);
	}

	/** Gets the service as the bundle in force states it. */
	get service(): Service {
		return this.#service;
	}

	/**
	 * Takes a changed bundle into force; the state of kept targets stays.
	 *
	 * @param plan - What the new bundle states.
	 * @param nowMs - The monotonic time in milliseconds.
	 * @returns The calls that waited and are now settled.
	 */
	setPlan(plan: ServicePlan, nowMs: number): readonly Settlement[] {
		const {service} = plan;
		this.#service = service;
		this.#admission.setService(service);
		this.#retries.setShare(service.retry.share);
		this.#roster.setTargets(getTargetEntries(plan, this.#dataCentre), nowMs);
		return this.#roster.inServiceCount === 0
			? this.refuseAll(this.#describeNoTarget())
			: this.settle(nowMs);
	}

	/**
	 * Takes over how many hosts there are.
	 *
	 * @param fleet - The fleet.
	 * @param nowMs - The monotonic time in milliseconds.
	 */
	setFleet(fleet: FleetView, nowMs: number): void {
		this.#roster.setFleet(fleet, nowMs);
	}

	/**
	 * Decides about a call that has just come, or comes again after a send.
	 *
	 * @param call - The call.
	 * @param nowMs - The monotonic time in milliseconds.
	 * @returns Where to send it, that it waits, or why it is refused.
	 */
	offer(call: Call, nowMs: number): OfferResult {
		if (this.#roster.inServiceCount === 0) {
			const failure = this.#describeNoTarget();
			return {decision: {kind: 'refusal', call, failure}, settled: []};
		}

		const settled = this.settle(nowMs);
		if (call.triedTargets.length > 0) {
			return {decision: this.#grantAgain(call, nowMs), settled};
		}

		const grant = this.#admission.size === 0 && this.#grant(call, nowMs);
		if (grant) {
			return {decision: grant, settled};
		}

		const result = this.#admission.enqueue(call, nowMs);
		return {...result, settled: [...settled, ...result.settled]};
	}

	/**
	 * Takes in the end of a send and settles calls that can go now.
	 *
	 * @param target - The target that the send went to.
	 * @param outcome - How it ended.
	 * @param nowMs - The monotonic time in milliseconds.
	 * @returns The calls that waited and are now settled.
	 */
	finish(
		target: TargetState,
		outcome: Outcome,
		nowMs: number,
	): readonly Settlement[] {
		this.#roster.release(target, outcome, nowMs);
		return this.settle(nowMs);
	}

	/**
	 * Settles every waiting call that can be sent or has waited too long.
	 *
	 * @param nowMs - The monotonic time in milliseconds.
	 * @returns The calls that are now settled.
	 */
	settle(nowMs: number): readonly Settlement[] {
		this.#roster.refreshDue(nowMs);
		const settled: Settlement[] = this.#admission.takeExpired(nowMs);
		while (this.#admission.size > 0) {
			const target = this.#roster.acquire([], nowMs);
			if (target === undefined) {
				break;
			}

			const call = this.#admission.shift(nowMs)!;
			this.#retries.addFirstSend();
			settled.push({kind: 'grant', call, target});
		}

		return settled;
	}

	/** Gets when `settle` has something to do, in milliseconds, if ever. */
	getNextWakeMs(): number | undefined {
		const expiryMs = this.#admission.getNextExpiryMs();
		if (expiryMs === undefined) {
			return undefined;
		}

		return Math.min(expiryMs, this.#roster.getNextRefreshMs() ?? expiryMs);
	}

	/**
	 * Takes back a waiting call whose caller has gone.
	 *
	 * @param call - The call.
	 */
	withdraw(call: Call): void {
		this.#admission.remove(call);
	}

	/**
	 * Refuses all waiting calls.
	 *
	 * @param failure - Why.
	 * @returns The refusals.
	 */
	refuseAll(failure: Failure): readonly Refusal[] {
		const calls = this.#admission.takeAll();
		return calls.map((call) => ({kind: 'refusal', call, failure}));
	}

	/**
	 * Takes a further send out of the budget.
	 *
	 * @returns Whether the budget and the state of the service allow one.
	 */
	takeRetry(): boolean {
		const {refusedShare} = this.#roster.averages;
		return refusedShare < refusingShare && this.#retries.take();
	}

	/**
	 * Gets when a refused call may come back with hope.
	 *
	 * @param call - The call.
	 * @param nowMs - The monotonic time in milliseconds.
	 * @returns The time in milliseconds from now.
	 */
	getRetryAfterMs(call: Call, nowMs: number): number {
		return this.#admission.getRetryAfterMs(call, nowMs);
	}

	#grant(call: Call, nowMs: number): Grant | undefined {
		const target = this.#roster.acquire(call.triedTargets, nowMs);
		if (target === undefined) {
			return undefined;
		}

		if (call.triedTargets.length === 0) {
			this.#retries.addFirstSend();
		}

		return {kind: 'grant', call, target};
	}

	/** Sends a call again at once or not at all. */
	#grantAgain(call: Call, nowMs: number): Settlement {
		const grant = this.#grant(call, nowMs);
		const retryAfterMs = this.getRetryAfterMs(call, nowMs);
		const detail = `No other target of "${this.#service.name}" is free.`;
		return (
			grant ?? {
				kind: 'refusal',
				call,
				failure: notRun('target-refused', detail, retryAfterMs),
			}
		);
	}

	#describeNoTarget(): Failure {
		return notRun('no-target', `No target of "${this.#service.name}" is in.`);
	}
}
