/** The state that this host keeps for one incarnation of a target. */

import type {RegisteredTarget} from '../plan/registered-target.js';
import {unlimitedWarmUpGate, type WarmUpGate} from '../warm-up/warm-up-gate.js';
import type {ConnectionPool} from './connection-pool.js';
import type {HealthReport, LoadReport} from './load-report.js';
import type {PathMonitor} from './path-monitor.js';
import {FloodPause} from './flood-pause.js';
import {TargetAvailability} from './target-availability.js';

/** The target of a state, and what it is kept with. */
export type TargetStateOptions = {
	/** The published target. */
	readonly registration: RegisteredTarget;
	/** The connections to the target. */
	readonly pool: ConnectionPool;
	/** The monotonic time in milliseconds. */
	readonly nowMs: number;
	/** Whether the target accepts requests. */
	readonly availability?: TargetAvailability;
	/** Limits the requests of this host while the target is cold. */
	readonly warmUp?: WarmUpGate;
	/** Told of each response and each failure to respond. */
	readonly pathMonitor?: PathMonitor;
};

/** Time constant of the decay of outcomes, in milliseconds; they lose two thirds of their weight in this time. */
const failureDecayMs = 4000;
/** Successes assumed before any request, so that a first failure weighs less. */
const priorSuccesses = 2;
/** Weight of a request that another target answered sooner; most of them would have been answered. */
const overtakenWeight = 0.35;
/** Weight of a failure that another host reported; its successes are not reported. */
const remoteFailureWeight = 0.35;

/** The load, health and recent outcomes of a target. */
export class TargetState {
	registration: RegisteredTarget;
	readonly pool: ConnectionPool;
	/** Whether it accepts requests, by its own responses. */
	readonly availability: TargetAvailability;
	/** How long it is left alone because it sends bytes without end. */
	readonly floodPause = new FloodPause();
	/** Limits the requests of this host while it is cold. */
	readonly warmUp: WarmUpGate;
	/** The latest load report. */
	report: LoadReport | undefined;
	/** The latest response of the health path. */
	health: HealthReport | undefined;
	/** When it last responded, on the monotonic clock, in milliseconds. */
	lastContactAtMs = Number.NEGATIVE_INFINITY;
	/** The number of consecutive probes that timed out. */
	unansweredCount = 0;
	/** When a connection for a probe last failed, on the monotonic clock, in milliseconds. */
	unreachableAtMs = Number.NEGATIVE_INFINITY;
	/** Until when it is avoided, on the monotonic clock, in milliseconds. */
	avoidUntilMs = Number.NEGATIVE_INFINITY;
	/** Until when another target counts as the one at its address, on the monotonic clock, in milliseconds. */
	displacedUntilMs = Number.NEGATIVE_INFINITY;
	/** When its warm-up ends, on the monotonic clock, in milliseconds. */
	coldUntilMs: number;
	readonly #pathMonitor: PathMonitor | undefined;
	#failures = 0;
	#successes = 0;
	#decayedAtMs: number;
	/** Requests sent since the latest report, which does not include them. */
	#unreportedSends = 0;
	#outstanding = 0;

	/**
	 * @param options - The target.
	 */
	constructor({
		registration,
		pool,
		nowMs,
		availability = new TargetAvailability(),
		warmUp = unlimitedWarmUpGate,
		pathMonitor,
	}: TargetStateOptions) {
		this.availability = availability;
		this.warmUp = warmUp;
		this.registration = registration;
		this.pool = pool;
		this.#pathMonitor = pathMonitor;
		this.coldUntilMs = nowMs + registration.remainingWarmUpMs;
		this.#decayedAtMs = nowMs;
	}

	/** Whether it has failed to respond or to accept a connection since it last responded. */
	get isOutOfReach(): boolean {
		return (
			this.unansweredCount > 0 || this.unreachableAtMs > this.lastContactAtMs
		);
	}

	/** The estimated number of requests it runs or queues. */
	get load(): number {
		const {running = 0, waiting = 0} = this.report ?? {};
		return running + waiting + this.#unreportedSends;
	}

	/** The number of requests of this host that it has not answered. */
	get outstanding(): number {
		return this.#outstanding;
	}

	/** The number of requests it runs at once. */
	get slots(): number {
		return Math.max(1, this.report?.slots ?? this.registration.slots);
	}

	/**
	 * Stores a newer entry that the target has published. One that is not probed,
	 * because it has a limit, tells only there that it has turned cold.
	 *
	 * @param registration - The entry.
	 * @param nowMs - The monotonic time in milliseconds.
	 */
	setRegistration(registration: RegisteredTarget, nowMs: number): void {
		const isNew = registration.sequence !== this.registration.sequence;
		this.registration = registration;
		if (isNew && registration.remainingWarmUpMs > 0) {
			this.coldUntilMs = Math.max(
				this.coldUntilMs,
				nowMs + registration.remainingWarmUpMs,
			);
		}
	}

	/**
	 * Stores a load report.
	 *
	 * @param report - The report.
	 */
	addReport(report: LoadReport): void {
		this.report = report;
		this.#unreportedSends = 0;
		this.addContact(report.receivedAtMs);
	}

	/**
	 * Stores a response of the health path.
	 *
	 * @param health - The response.
	 */
	addHealth(health: HealthReport): void {
		this.health = health;
		this.coldUntilMs =
			health.remainingWarmUpMs > 0
				? health.receivedAtMs + health.remainingWarmUpMs
				: 0;
		this.addReport(health);
	}

	/**
	 * Records that the target has responded.
	 *
	 * @param nowMs - The monotonic time in milliseconds.
	 */
	addContact(nowMs: number): void {
		this.lastContactAtMs = nowMs;
		this.unansweredCount = 0;
		this.#pathMonitor?.addContact();
	}

	/** Records that the target has not responded to a probe in time. */
	addUnanswered(): void {
		this.unansweredCount++;
		this.#pathMonitor?.addMiss(this.registration.id);
	}

	/**
	 * Records that the connection for a probe has failed.
	 *
	 * @param nowMs - The monotonic time in milliseconds.
	 */
	addUnreachable(nowMs: number): void {
		this.unreachableAtMs = nowMs;
		this.#pathMonitor?.addMiss(this.registration.id);
	}

	/**
	 * Records that a request is about to be sent to the target, so that those picked
	 * at the same moment count it.
	 */
	addSend(): void {
		this.#unreportedSends++;
		this.#outstanding++;
	}

	/** Records that a request to the target has ended, with or without a response. */
	addEnd(): void {
		this.#outstanding = Math.max(0, this.#outstanding - 1);
	}

	/**
	 * Records the outcome of a request of this host.
	 *
	 * @param hasFailed - Whether the request failed at the target.
	 * @param nowMs - The monotonic time in milliseconds.
	 */
	addOutcome(hasFailed: boolean, nowMs: number): void {
		this.#decay(nowMs);
		if (hasFailed) {
			this.#failures++;
		} else {
			this.floodPause.addResponse();
			this.#successes++;
		}
	}

	/**
	 * Records a failed request that another host reported. It weighs less than
	 * a failure seen by this host, because hosts do not report their successes.
	 *
	 * @param nowMs - The monotonic time in milliseconds.
	 */
	addRemoteFailure(nowMs: number): void {
		this.#decay(nowMs);
		this.#failures += remoteFailureWeight;
	}

	/**
	 * Records that a request took so long that its copy at another target was
	 * answered first. Without it, a target that drops requests would look faultless.
	 *
	 * @param nowMs - The monotonic time in milliseconds.
	 */
	addOvertaken(nowMs: number): void {
		this.#decay(nowMs);
		this.#failures += overtakenWeight;
	}

	/**
	 * Estimates the probability that a request fails at the target.
	 *
	 * @param nowMs - The monotonic time in milliseconds.
	 * @returns The failure rate, from 0 to 1.
	 */
	getFailureRate(nowMs: number): number {
		this.#decay(nowMs);
		return this.#failures / (this.#failures + this.#successes + priorSuccesses);
	}

	/**
	 * Checks whether the target is still warming up.
	 *
	 * @param nowMs - The monotonic time in milliseconds.
	 * @returns Whether it is cold and can handle only few requests.
	 */
	isCold(nowMs: number): boolean {
		return nowMs < this.coldUntilMs;
	}

	/**
	 * Gets how much longer the target is warming up.
	 *
	 * @param nowMs - The monotonic time in milliseconds.
	 * @returns The time in milliseconds; undefined if it is warm.
	 */
	getColdForMs(nowMs: number): number | undefined {
		return this.isCold(nowMs) ? this.coldUntilMs - nowMs : undefined;
	}

	#decay(nowMs: number): void {
		const retained = Math.exp((this.#decayedAtMs - nowMs) / failureDecayMs);
		this.#failures *= retained;
		this.#successes *= retained;
		this.#decayedAtMs = nowMs;
	}
}
