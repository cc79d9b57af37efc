/** The state that this host keeps of a target. */

import type {Target} from '@bilberryscale/bundle';
import type {TargetIncarnationId} from '@bilberryscale/core';
import type {ColdStart} from './cold-start.js';
import {ConcurrencyLimit} from './concurrency-limit.js';
import type {LoadReport} from './load-report.js';
import type {Outcome} from './outcome.js';
import type {ServiceAverages} from './service-averages.js';
import {TargetHealth} from './target-health.js';

const latencySmoothingFactor = 0.1;
const loadSmoothingFactor = 0.1;
/** The time constant of a mean latency's decay to the service average. */
const latencyDecayMs = 5000;
/** The time constant of a load report's weight, in mean service latencies. */
const reportDecayRatio = 2;

/** The state of one target in this host; hosts don't share it. */
export class TargetState {
	/** The target's configuration in the bundle. */
	target: Target;
	/** The network round trip between this host and the target. */
	roundTripMs = 0;
	/** Whether the bundle allows new requests to the target. */
	isInService = false;
	/** The number of this host's open attempts at the target. */
	outstanding = 0;
	/** The latest load report, if any. */
	report: LoadReport | undefined;
	/** The monotonic time before which this host sends the target nothing. */
	pausedUntilMs = 0;
	/** The target's cold start; undefined while it counts as warm. */
	coldStart: ColdStart | undefined;
	/** The boot id of the target's current incarnation, as last reported. */
	bootId: TargetIncarnationId | undefined;
	/**
	 * The boot id of the previous incarnation. A late answer that carries it is
	 * not taken for another restart.
	 */
	previousBootId: TargetIncarnationId | undefined;
	/** The monotonic time of the refresh that the pool scheduled last. */
	nextRefreshMs = 0;
	readonly health = new TargetHealth();
	readonly concurrencyLimit: ConcurrencyLimit;
	#meanLatencyMs = 0;
	#latencySamples = 0;
	#reportedOtherHostsLoad = 0;
	#meanOtherHostsLoad = 0;
	#lastLatencyAtMs = 0;
	#lastProgressAtMs = 0;

	/**
	 * @param target - The target's configuration in the bundle.
	 */
	constructor(target: Target) {
		this.target = target;
		this.concurrencyLimit = new ConcurrencyLimit(target.slots);
	}

	/**
	 * Counts the start of an attempt.
	 *
	 * @param nowMs - The monotonic time in milliseconds.
	 */
	beginAttempt(nowMs: number): void {
		if (this.outstanding === 0) {
			this.#lastProgressAtMs = nowMs;
		}

		this.outstanding++;
	}

	/**
	 * Records the end of an attempt.
	 *
	 * @param outcome - The outcome of the attempt.
	 * @param nowMs - The monotonic time in milliseconds.
	 */
	endAttempt(outcome: Outcome, nowMs: number): void {
		this.outstanding--;
		this.#lastProgressAtMs = nowMs;
		if (outcome.report !== undefined) {
			this.#recordReport(outcome.report);
		}

		if (outcome.kind === 'served') {
			this.#recordLatency(outcome.latencyMs, nowMs);
		}
	}

	/** Gets the moving average of the latency; 0 before the first sample. */
	get meanLatencyMs(): number {
		return this.#meanLatencyMs;
	}

	/** Discards the latency samples, after a restart or an ejection. */
	resetLatency(): void {
		this.#meanLatencyMs = 0;
		this.#latencySamples = 0;
	}

	/**
	 * Estimates how many requests the target runs or queues now.
	 *
	 * @remarks This host's requests are counted exactly. The load from other
	 * hosts is taken from the last report; as the report ages, the estimate
	 * decays to the mean over past reports.
	 * @param averages - The averages over the targets of the service.
	 * @param nowMs - The monotonic time in milliseconds.
	 * @returns The estimated number of requests.
	 */
	estimateLoad(averages: ServiceAverages, nowMs: number): number {
		if (this.report === undefined) {
			return this.outstanding + averages.otherHostsLoad;
		}

		const ageMs = nowMs - this.report.receivedAtMs;
		const decayMs = averages.latencyMs * reportDecayRatio;
		const weight = Math.exp(-ageMs / decayMs);
		const deviation =
			weight * (this.#reportedOtherHostsLoad - this.#meanOtherHostsLoad);
		return this.outstanding + this.#meanOtherHostsLoad + deviation;
	}

	/**
	 * Estimates the target's latency.
	 *
	 * @remarks Without new samples the estimate decays to the service average,
	 * but it is never below the time for which the target has been stalled.
	 * @param averages - The averages over the targets of the service.
	 * @param nowMs - The monotonic time in milliseconds.
	 * @returns The estimate in milliseconds.
	 */
	estimateLatencyMs(averages: ServiceAverages, nowMs: number): number {
		const stallMs = this.getStallMs(nowMs);
		if (this.#latencySamples === 0) {
			return Math.max(averages.latencyMs, stallMs);
		}

		const weight = Math.exp(-(nowMs - this.#lastLatencyAtMs) / latencyDecayMs);
		const decayedDeviationMs =
			weight * (this.#meanLatencyMs - averages.latencyMs);
		return Math.max(averages.latencyMs + decayedDeviationMs, stallMs);
	}

	/**
	 * Gets for how long none of this host's open attempts has ended.
	 *
	 * @param nowMs - The monotonic time in milliseconds.
	 * @returns The time in milliseconds; 0 without open attempts.
	 */
	getStallMs(nowMs: number): number {
		return this.outstanding > 0 ? nowMs - this.#lastProgressAtMs : 0;
	}

	#recordReport(report: LoadReport): void {
		this.report = report;
		this.#reportedOtherHostsLoad = Math.max(
			0,
			report.inFlight - this.outstanding,
		);
		this.#meanOtherHostsLoad +=
			loadSmoothingFactor *
			(this.#reportedOtherHostsLoad - this.#meanOtherHostsLoad);
	}

	#recordLatency(sampleMs: number, nowMs: number): void {
		this.#lastLatencyAtMs = nowMs;
		this.#latencySamples++;
		const smoothingFactor = Math.max(
			latencySmoothingFactor,
			1 / this.#latencySamples,
		);
		this.#meanLatencyMs += smoothingFactor * (sampleMs - this.#meanLatencyMs);
	}
}
