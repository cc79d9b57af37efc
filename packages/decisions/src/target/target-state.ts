/** A target as this host sees it. */

import type {Target} from '@bilberryscale/bundle';
import type {BootId} from '@bilberryscale/core';
import type {ColdStart} from './cold-start.js';
import type {LoadReport} from './load-report.js';
import type {Outcome} from './outcome.js';
import type {ServiceAverages} from './service-averages.js';
import {TargetHealth} from './target-health.js';
import {TargetLimit} from './target-limit.js';

const meanLatencyWeight = 0.1;
const loadWeight = 0.1;
/** How long an average of latencies is believed, in milliseconds. */
const latencyMemoryMs = 5000;
/** How long a report is believed, as a multiple of the service's latency. */
const reportMemoryRatio = 2;

/** The state of a target in this host; nothing here is shared. */
export class TargetState {
	/** What the bundle says of the target. */
	target: Target;
	/** The way there and back from this host, in milliseconds. */
	roundTripMs = 0;
	/** Whether the bundle lets the target take new work. */
	isInService = false;
	/** The requests of this host that the target holds. */
	outstanding = 0;
	/** The newest report, if any. */
	report: LoadReport | undefined;
	/** The target takes nothing from this host before this time. */
	pausedUntilMs = 0;
	/** The start that the target is in, if it is cold. */
	coldStart: ColdStart | undefined;
	/** The life of the target that reports come from. */
	bootId: BootId | undefined;
	/** The life before; its late answers say nothing of the present one. */
	formerBootId: BootId | undefined;
	/** When the roster looks at the target again, if it has to. */
	nextWakeMs = 0;
	readonly health = new TargetHealth();
	readonly limit: TargetLimit;
	#meanMs = 0;
	#samples = 0;
	#othersAtReport = 0;
	#meanOthers = 0;
	#latencyAtMs = 0;
	#progressAtMs = 0;

	/**
	 * @param target - What the bundle says of the target.
	 */
	constructor(target: Target) {
		this.target = target;
		this.limit = new TargetLimit(target.slots);
	}

	/**
	 * Counts a send that begins.
	 *
	 * @param nowMs - The monotonic time in milliseconds.
	 */
	begin(nowMs: number): void {
		if (this.outstanding === 0) {
			this.#progressAtMs = nowMs;
		}

		this.outstanding++;
	}

	/**
	 * Takes in the end of a send.
	 *
	 * @param outcome - How the send ended.
	 * @param nowMs - The monotonic time in milliseconds.
	 */
	end(outcome: Outcome, nowMs: number): void {
		this.outstanding--;
		this.#progressAtMs = nowMs;
		if (outcome.report !== undefined) {
			this.#takeReport(outcome.report);
		}

		if (outcome.kind === 'served') {
			this.#averageLatency(outcome.latencyMs, nowMs);
		}
	}

	/** Gets the mean of the newest latencies in milliseconds; 0 before the first. */
	get meanLatencyMs(): number {
		return this.#meanMs;
	}

	/** Forgets how fast the target was, after a restart or an ejection. */
	forgetLatency(): void {
		this.#meanMs = 0;
		this.#samples = 0;
	}

	/**
	 * Estimates the requests that the target runs or holds now.
	 *
	 * @remarks Own requests are known exactly. Those of other hosts are known
	 * from a report that loses its worth with its age, in favour of their mean.
	 * @param averages - What its peers are like.
	 * @param nowMs - The monotonic time in milliseconds.
	 * @returns The estimate.
	 */
	estimateLoad(averages: ServiceAverages, nowMs: number): number {
		if (this.report === undefined) {
			return this.outstanding + averages.load;
		}

		const ageMs = nowMs - this.report.receivedAtMs;
		const memoryMs = averages.latencyMs * reportMemoryRatio;
		const worth = Math.exp(-ageMs / memoryMs);
		const newer = worth * (this.#othersAtReport - this.#meanOthers);
		return this.outstanding + this.#meanOthers + newer;
	}

	/**
	 * Estimates the latency.
	 *
	 * @remarks Without new samples the estimate nears that of the peers, but it
	 * is never below the time for which the target has answered nothing.
	 * @param averages - What its peers are like.
	 * @param nowMs - The monotonic time in milliseconds.
	 * @returns The estimate in milliseconds.
	 */
	estimateLatencyMs(averages: ServiceAverages, nowMs: number): number {
		const silenceMs = this.getSilenceMs(nowMs);
		if (this.#samples === 0) {
			return Math.max(averages.latencyMs, silenceMs);
		}

		const worth = Math.exp(-(nowMs - this.#latencyAtMs) / latencyMemoryMs);
		const faded = worth * (this.#meanMs - averages.latencyMs);
		return Math.max(averages.latencyMs + faded, silenceMs);
	}

	/**
	 * Gets for how long the target has answered none of this host's requests.
	 *
	 * @param nowMs - The monotonic time in milliseconds.
	 * @returns The time in milliseconds; 0 if it has none.
	 */
	getSilenceMs(nowMs: number): number {
		return this.outstanding > 0 ? nowMs - this.#progressAtMs : 0;
	}

	#takeReport(report: LoadReport): void {
		this.report = report;
		this.#othersAtReport = Math.max(0, report.inFlight - this.outstanding);
		this.#meanOthers += loadWeight * (this.#othersAtReport - this.#meanOthers);
	}

	#averageLatency(sampleMs: number, nowMs: number): void {
		this.#latencyAtMs = nowMs;
		this.#samples++;
		const meanWeight = Math.max(meanLatencyWeight, 1 / this.#samples);
		this.#meanMs += meanWeight * (sampleMs - this.#meanMs);
	}
}
