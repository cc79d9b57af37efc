/** Lets calls wait or refuses them at once, with the time to come back. */

import type {Service} from '@bilberryscale/bundle';
import {notRun} from '@bilberryscale/core';
import type {Call, Decision, OfferResult, Refusal} from './call.js';
import {DrainRate} from './drain-rate.js';
import {FairQueue} from './fair-queue.js';

/** In a queue that stands for long, calls may wait this share of the bound. */
const standingShare = 1 / 4;
const lowestRetryAfterMs = 50;
const highestRetryAfterMs = 10_000;

/** The waiting calls of one service and who may join them. */
export class Admission {
	readonly #queue: FairQueue;
	readonly #drain = new DrainRate();
	#service: Service;
	#standsSinceMs = 0;

	/**
	 * @param service - The service as the bundle states it.
	 */
	constructor(service: Service) {
		this.#service = service;
		this.#queue = new FairQueue(service.classes);
	}

	/** Gets how many calls wait. */
	get size(): number {
		return this.#queue.size;
	}

	/**
	 * Takes a changed bundle into force.
	 *
	 * @param service - The service as the new bundle states it.
	 */
	setService(service: Service): void {
		this.#service = service;
		this.#queue.setClasses(service.classes);
	}

	/**
	 * Lets a call wait if it can be served in time.
	 *
	 * @param call - The call.
	 * @param nowMs - The monotonic time in milliseconds.
	 * @returns That it waits or why not, and who had to leave for it.
	 */
	enqueue(call: Call, nowMs: number): OfferResult {
		const {queueLength} = this.#service.limits;
		const allowedMs = this.#getAllowedMs(call, nowMs);
		const isPredictedLate =
			this.size > 0 && this.#predictWaitMs(call, nowMs) > allowedMs;
		if (isPredictedLate || allowedMs <= 0 || queueLength === 0) {
			return {decision: this.#refuseFull(call, nowMs), settled: []};
		}

		const settled: Refusal[] = [];
		if (this.size >= queueLength) {
			const evicted = this.#queue.evictFor(call.callerClass);
			if (evicted === undefined) {
				return {decision: this.#refuseFull(call, nowMs), settled};
			}

			settled.push(this.#refuseFull(evicted, nowMs));
		}

		return {decision: this.#push(call, nowMs, nowMs + allowedMs), settled};
	}

	/**
	 * Takes the call whose turn it is, if any waits.
	 *
	 * @param nowMs - The monotonic time in milliseconds.
	 */
	shift(nowMs: number): Call | undefined {
		const call = this.#queue.shift();
		if (call !== undefined) {
			this.#drain.addDeparture(nowMs);
		}

		return call;
	}

	/**
	 * Refuses the calls whose wait has ended.
	 *
	 * @param nowMs - The monotonic time in milliseconds.
	 * @returns The refusals.
	 */
	takeExpired(nowMs: number): Refusal[] {
		const refusals: Refusal[] = [];
		for (;;) {
			const call = this.#queue.takeExpired(nowMs);
			if (call === undefined) {
				return refusals;
			}

			refusals.push(this.#refuseLate(call, nowMs));
		}
	}

	/**
	 * Takes back a waiting call.
	 *
	 * @param call - The call.
	 */
	remove(call: Call): void {
		this.#queue.remove(call);
	}

	/** Takes all waiting calls out, in their turn. */
	takeAll(): Call[] {
		const calls: Call[] = [];
		for (;;) {
			const call = this.#queue.shift();
			if (call === undefined) {
				return calls;
			}

			calls.push(call);
		}
	}

	/** Gets when the next wait ends, in milliseconds; undefined if none waits. */
	getNextExpiryMs(): number | undefined {
		return this.#queue.getNextExpiryMs();
	}

	/**
	 * Gets when a refused call may come back with hope.
	 *
	 * @param call - The call.
	 * @param nowMs - The monotonic time in milliseconds.
	 * @returns The time in milliseconds from now.
	 */
	getRetryAfterMs(call: Call, nowMs: number): number {
		const waitMs = Math.ceil(this.#predictWaitMs(call, nowMs));
		return Math.min(highestRetryAfterMs, Math.max(lowestRetryAfterMs, waitMs));
	}

	#push(call: Call, nowMs: number, expiresAtMs: number): Decision {
		if (this.size === 0) {
			this.#drain.restart(nowMs);
			this.#standsSinceMs = nowMs;
		}

		this.#queue.add(call, nowMs, expiresAtMs);
		return {kind: 'wait', call};
	}

	/**
	 * Gets how long a call may wait.
	 *
	 * @remarks A queue that does not empty for its whole bound serves no burst
	 * any more; waiting in it only adds to every call's latency.
	 */
	#getAllowedMs(call: Call, nowMs: number): number {
		const {queueTimeMs} = this.#service.limits;
		const isStanding =
			this.size > 0 && nowMs - this.#standsSinceMs > queueTimeMs;
		const boundMs = isStanding ? queueTimeMs * standingShare : queueTimeMs;
		return Math.min(boundMs, call.deadlineMs - nowMs);
	}

	#predictWaitMs(call: Call, nowMs: number): number {
		const ahead = this.#queue.countAhead(call.callerClass);
		return this.#drain.predictWaitMs(ahead, nowMs);
	}

	#refuseFull(call: Call, nowMs: number): Refusal {
		const detail = `${this.size} calls of "${this.#service.name}" wait already.`;
		const retryAfterMs = this.getRetryAfterMs(call, nowMs);
		return {
			kind: 'refusal',
			call,
			failure: notRun('over-capacity', detail, retryAfterMs),
		};
	}

	#refuseLate(call: Call, nowMs: number): Refusal {
		const {name} = this.#service;
		const retryAfterMs = this.getRetryAfterMs(call, nowMs);
		const failure =
			nowMs >= call.deadlineMs
				? notRun('deadline-exceeded', 'The deadline passed in the queue.')
				: notRun(
						'queue-timeout',
						`No target of "${name}" was free in time.`,
						retryAfterMs,
					);
		return {kind: 'refusal', call, failure};
	}
}
