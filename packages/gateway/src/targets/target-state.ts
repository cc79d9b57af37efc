/** What this host knows of one life of a target. */

import type {ListedTarget} from '../plan/registered-target.js';
import type {TargetLink} from './target-link.js';
import type {HealthReport, TargetReport} from './target-report.js';

/** Failures lose two thirds of their weight in this time, in milliseconds. */
const failureMemoryMs = 4000;
/** How many good answers stand against the first failure. */
const priorGoodAnswers = 2;

/** What a failure weighs that another host tells of. */
const heardFailureWeight = 0.35;

/** A target in use. */
export class TargetState {
	listed: ListedTarget;
	readonly link: TargetLink;
	/** The newest report of the target. */
	report: TargetReport | undefined;
	/** The newest answer of its health path. */
	health: HealthReport | undefined;
	/** When it was last heard, on the monotonic clock, in milliseconds. */
	heardAtMs = Number.NEGATIVE_INFINITY;
	/** How many questions in a row met with silence. */
	unansweredCount = 0;
	/** When it last took no connection, on the monotonic clock, in milliseconds. */
	unreachableAtMs = Number.NEGATIVE_INFINITY;
	/** Until when it is left alone, on the monotonic clock, in milliseconds. */
	avoidUntilMs = Number.NEGATIVE_INFINITY;
	/** When it becomes warm, on the monotonic clock, in milliseconds. */
	coldUntilMs: number;
	/** When this host last sent it a request while it was cold. */
	coldSendAtMs = Number.NEGATIVE_INFINITY;
	#failures = 0;
	#goodAnswers = 0;
	#decayedAtMs: number;
	/** How many requests were sent that the newest report does not hold yet. */
	#unreported = 0;

	/**
	 * @param listed - The target as it is published.
	 * @param link - The connections to it.
	 * @param nowMs - The monotonic time in milliseconds.
	 */
	constructor(listed: ListedTarget, link: TargetLink, nowMs: number) {
		this.listed = listed;
		this.link = link;
		this.coldUntilMs = nowMs + listed.coldMs;
		this.#decayedAtMs = nowMs;
	}

	/** Gets how many requests it holds, as far as this host can tell. */
	get load(): number {
		const {running = 0, waiting = 0} = this.report ?? {};
		return running + waiting + this.#unreported;
	}

	/** Gets how many requests it runs at once. */
	get slots(): number {
		return Math.max(1, this.report?.slots ?? this.listed.slots);
	}

	/**
	 * Takes in a report.
	 *
	 * @param report - The report.
	 */
	addReport(report: TargetReport): void {
		this.report = report;
		this.#unreported = 0;
		this.addSign(report.receivedAtMs);
	}

	/**
	 * Takes in an answer of the health path.
	 *
	 * @param health - The answer.
	 */
	addHealth(health: HealthReport): void {
		this.health = health;
		this.coldUntilMs =
			health.coldMs > 0 ? health.receivedAtMs + health.coldMs : 0;
		this.addReport(health);
	}

	/**
	 * Notes that the target was heard.
	 *
	 * @param nowMs - The monotonic time in milliseconds.
	 */
	addSign(nowMs: number): void {
		this.heardAtMs = nowMs;
		this.unansweredCount = 0;
	}

	/**
	 * Notes that a request is on its way to the target.
	 *
	 * @param nowMs - The monotonic time in milliseconds.
	 */
	addSend(nowMs: number): void {
		this.#unreported++;
		if (this.isCold(nowMs)) {
			this.coldSendAtMs = nowMs;
		}
	}

	/**
	 * Notes how a request ended.
	 *
	 * @param hasFailed - Whether the target failed it.
	 * @param nowMs - The monotonic time in milliseconds.
	 */
	addOutcome(hasFailed: boolean, nowMs: number): void {
		this.#decay(nowMs);
		if (hasFailed) {
			this.#failures++;
		} else {
			this.#goodAnswers++;
		}
	}

	/**
	 * Notes that the target failed a request of another host, of whose good
	 * answers this host hears nothing.
	 *
	 * @param nowMs - The monotonic time in milliseconds.
	 */
	addHeardFailure(nowMs: number): void {
		this.#decay(nowMs);
		this.#failures += heardFailureWeight;
	}

	/**
	 * Gets how likely the target fails a request.
	 *
	 * @param nowMs - The monotonic time in milliseconds.
	 * @returns The share of failures, from 0 to 1.
	 */
	getFailureShare(nowMs: number): number {
		this.#decay(nowMs);
		return (
			this.#failures / (this.#failures + this.#goodAnswers + priorGoodAnswers)
		);
	}

	/**
	 * Tells whether the target is cold.
	 *
	 * @param nowMs - The monotonic time in milliseconds.
	 * @returns Whether it bears only few requests.
	 */
	isCold(nowMs: number): boolean {
		return nowMs < this.coldUntilMs;
	}

	#decay(nowMs: number): void {
		const kept = Math.exp((this.#decayedAtMs - nowMs) / failureMemoryMs);
		this.#failures *= kept;
		this.#goodAnswers *= kept;
		this.#decayedAtMs = nowMs;
	}
}
