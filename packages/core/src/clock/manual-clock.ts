/** A clock for tests that advances only on request. */

import type {CancelFunction, Clock} from './clock.js';

type ScheduledAction = {
	readonly dueMs: number;
	readonly order: number;
	readonly run: () => void;
};

/** A clock whose time stays fixed until a test advances it. */
export class ManualClock implements Clock {
	#elapsedMs = 0;
	#wallClockOriginMs: number;
	#nextOrder = 0;
	#scheduled: ScheduledAction[] = [];

	/**
	 * @param start - The wall-clock time when the monotonic time is 0.
	 */
	constructor(start: Date = new Date('2026-01-01T00:00:00Z')) {
		this.#wallClockOriginMs = start.getTime();
	}

	/** Gets the number of scheduled actions that have not run yet. */
	get pendingCount(): number {
		return this.#scheduled.length;
	}

	monotonicMs(): number {
		return this.#elapsedMs;
	}

	now(): Date {
		return new Date(this.#wallClockOriginMs + this.#elapsedMs);
	}

	schedule(delayMs: number, action: () => void): CancelFunction {
		const scheduled: ScheduledAction = {
			dueMs: this.#elapsedMs + Math.max(0, delayMs),
			order: this.#nextOrder++,
			run: action,
		};
		this.#scheduled.push(scheduled);
		return () => {
			this.#scheduled = this.#scheduled.filter((item) => item !== scheduled);
		};
	}

	/**
	 * Advances both clocks and runs the actions that become due, in order.
	 *
	 * @param durationMs - The time to advance, in milliseconds.
	 */
	advance(durationMs: number): void {
		const endMs = this.#elapsedMs + durationMs;
		for (;;) {
			const next = this.#removeNextDue(endMs);
			if (next === undefined) {
				break;
			}

			this.#elapsedMs = Math.max(this.#elapsedMs, next.dueMs);
			next.run();
		}

		this.#elapsedMs = endMs;
	}

	/**
	 * Advances both clocks without running any action, as if the process had been paused.
	 *
	 * @param durationMs - The duration of the pause, in milliseconds.
	 */
	pause(durationMs: number): void {
		this.#elapsedMs += durationMs;
	}

	/**
	 * Steps the wall clock without changing the monotonic time.
	 *
	 * @param offsetMs - The step in milliseconds; a negative value steps back.
	 */
	stepWallClock(offsetMs: number): void {
		this.#wallClockOriginMs += offsetMs;
	}

	#removeNextDue(endMs: number): ScheduledAction | undefined {
		const due = this.#scheduled
			.filter((item) => item.dueMs <= endMs)
			.toSorted((a, b) => a.dueMs - b.dueMs || a.order - b.order);
		const next = due[0];
		this.#scheduled = this.#scheduled.filter((item) => item !== next);
		return next;
	}
}
