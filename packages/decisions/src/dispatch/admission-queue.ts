/** Queues calls, or refuses them at once with a time to retry after. */

import type {Service} from '@bilberryscale/bundle';
import {notRunFailure} from '@bilberryscale/core';
import type {Call, Decision, OfferResult, Refusal} from './call.js';
import {FairQueue} from './fair-queue.js';
import {WaitEstimator} from './wait-estimator.js';

/** The maximum wait in a standing queue, as a share of `queueTimeMs`. */
const standingQueueShare = 1 / 4;
const minRetryAfterMs = 50;
const maxRetryAfterMs = 10_000;

/** The waiting calls of one service, with admission control. */
export class AdmissionQueue {
	readonly #queue: FairQueue;
	readonly #waitEstimator = new WaitEstimator();
	#service: Service;
	#nonEmptySinceMs = 0;

	/**
	 * @param service - The service as configured in the bundle.
	 */
	constructor(service: Service) {
		this.#service = service;
		this.#queue = new FairQueue(service.classes);
	}

	/** The number of waiting calls. */
	get size(): number {
		return this.#queue.size;
	}

	/**
	 * Applies a changed bundle.
	 *
	 * @param service - The service as configured in the new bundle.
	 */
	setService(service: Service): void {
		this.#service = service;
		this.#queue.setClasses(service.classes);
	}

	/**
	 * Queues a call if it is expected to be served in time. In a full queue it
	 * may evict a call of a class that has more than its share.
	 *
	 * @param call - The call.
	 * @param nowMs - The monotonic time in milliseconds.
	 * @returns Whether the call waits or why it is refused, and the refusal of
	 * the evicted call.
	 */
	enqueue(call: Call, nowMs: number): OfferResult {
		const {queueLength} = this.#service.limits;
		const maxWaitMs = this.#getMaxWaitMs(call, nowMs);
		const isPredictedLate =
			this.size > 0 && this.#predictWaitMs(call, nowMs) > maxWaitMs;
		if (isPredictedLate || maxWaitMs <= 0 || queueLength === 0) {
			return {decision: this.#refuseOverCapacity(call, nowMs), settled: []};
		}

		const settled: Refusal[] = [];
		if (this.size >= queueLength) {
			const evicted = this.#queue.evictFor(call.callerClass);
			if (evicted === undefined) {
				return {decision: this.#refuseOverCapacity(call, nowMs), settled};
			}

			settled.push(this.#refuseOverCapacity(evicted, nowMs));
		}

		return {decision: this.#push(call, nowMs, nowMs + maxWaitMs), settled};
	}

	/**
	 * Removes and returns the call to serve next, if any.
	 *
	 * @param nowMs - The monotonic time in milliseconds.
	 */
	shift(nowMs: number): Call | undefined {
		const call = this.#queue.shift();
		if (call !== undefined) {
			this.#waitEstimator.addDeparture(nowMs);
		}

		return call;
	}

	/**
	 * Removes and refuses the calls whose waiting time has expired.
	 *
	 * @param nowMs - The monotonic time in milliseconds.
	 * @returns The refusals.
	 */
	refuseExpired(nowMs: number): Refusal[] {
		const refusals: Refusal[] = [];
		for (;;) {
			const call = this.#queue.takeExpired(nowMs);
			if (call === undefined) {
				return refusals;
			}

			refusals.push(this.#refuseTimedOut(call, nowMs));
		}
	}

	/**
	 * Removes a waiting call.
	 *
	 * @param call - The call.
	 */
	remove(call: Call): void {
		this.#queue.remove(call);
	}

	/** Removes and returns all waiting calls, in the order of service. */
	removeAll(): Call[] {
		const calls: Call[] = [];
		for (;;) {
			const call = this.#queue.shift();
			if (call === undefined) {
				return calls;
			}

			calls.push(call);
		}
	}

	/** Gets when the next call expires, in milliseconds, if any call waits. */
	getNextExpiryMs(): number | undefined {
		return this.#queue.getNextExpiryMs();
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
		const waitMs = Math.ceil(this.#predictWaitMs(call, nowMs));
		return Math.min(maxRetryAfterMs, Math.max(minRetryAfterMs, waitMs));
	}

	#push(call: Call, nowMs: number, expiresAtMs: number): Decision {
		if (this.size === 0) {
			this.#waitEstimator.startBusyPeriod(nowMs);
			this.#nonEmptySinceMs = nowMs;
		}

		this.#queue.add(call, nowMs, expiresAtMs);
		return {kind: 'wait', call};
	}

	/**
	 * Gets how long a call may wait.
	 *
	 * @remarks A queue that has not emptied for `queueTimeMs` is a standing
	 * queue: it no longer absorbs a burst but only adds latency to every call.
	 */
	#getMaxWaitMs(call: Call, nowMs: number): number {
		const {queueTimeMs} = this.#service.limits;
		const isStanding =
			this.size > 0 && nowMs - this.#nonEmptySinceMs > queueTimeMs;
		const maxQueueTimeMs = isStanding
			? queueTimeMs * standingQueueShare
			: queueTimeMs;
		return Math.min(maxQueueTimeMs, call.deadlineMs - nowMs);
	}

	#predictWaitMs(call: Call, nowMs: number): number {
		const callsAhead = this.#queue.countAhead(call.callerClass);
		return this.#waitEstimator.predictWaitMs(callsAhead, nowMs);
	}

	#refuseOverCapacity(call: Call, nowMs: number): Refusal {
		const detail = `${this.size} calls of "${this.#service.name}" wait already.`;
		const retryAfterMs = this.getRetryAfterMs(call, nowMs);
		return {
			kind: 'refusal',
			call,
			failure: notRunFailure('over-capacity', detail, retryAfterMs),
		};
	}

	#refuseTimedOut(call: Call, nowMs: number): Refusal {
		const {name} = this.#service;
		const retryAfterMs = this.getRetryAfterMs(call, nowMs);
		const failure =
			nowMs >= call.deadlineMs
				? notRunFailure(
						'deadline-exceeded',
						'The deadline passed in the queue.',
					)
				: notRunFailure(
						'queue-timeout',
						`No target of "${name}" was free in time.`,
						retryAfterMs,
					);
		return {kind: 'refusal', call, failure};
	}
}
