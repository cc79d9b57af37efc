/** A clock that moves only when a test says so. */

import type {Cancellation, Clock} from './clock.js';

type ScheduledAction = {
	readonly dueMs: number;
	readonly order: number;
	readonly run: () => void;
};

/** A clock for tests; time stands still until it is advanced. */
export class ManualClock implements Clock {
	#elapsedMs = 0;
	#wallOffsetMs: number;
	#nextOrder = 0;
	#scheduled: ScheduledAction[] = [];

	/**
	 * @param start - The wall-clock time at monotonic zero.
	 */
	constructor(start: Date = new Date('2026-01-01T00:00:00Z')) {
		this.#wallOffsetMs = start.getTime();
	}

	/** Gets how many actions wait for their time. */
	get pendingCount(): number {
		return this.#scheduled.length;
	}

	monotonicMs(): number {
		return this.#elapsedMs;
	}

	now(): Date {
		return new Date(this.#wallOffsetMs + this.#elapsedMs);
	}

	schedule(delayMs: number, action: () => void): Cancellation {
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
	 * Moves both clocks forward and runs what falls due, in order.
	 *
	 * @param durationMs - How far to move, in milliseconds.
	 */
	advance(durationMs: number): void {
		const endMs = this.#elapsedMs + durationMs;
		for (;;) {
			const next = this.#takeNextDueBy(endMs);
			if (next === undefined) {
				break;
			}

			this.#elapsedMs = Math.max(this.#elapsedMs, next.dueMs);
			next.run();
		}

		this.#elapsedMs = endMs;
	}

	/**
	 * Moves both clocks forward without running anything, as a paused process sees it.
	 *
	 * @param durationMs - The length of the pause in milliseconds.
	 */
	pause(durationMs: number): void {
		this.#elapsedMs += durationMs;
	}

	/**
	 * Steps the wall clock alone.
	 *
	 * @param offsetMs - The step in milliseconds; negative steps back.
	 */
	stepWallClock(offsetMs: number): void {
		this.#wallOffsetMs += offsetMs;
	}

	#takeNextDueBy(endMs: number): ScheduledAction | undefined {
		const due = this.#scheduled
			.filter((item) => item.dueMs <= endMs)
			.toSorted((a, b) => a.dueMs - b.dueMs || a.order - b.order);
		const next = due[0];
		this.#scheduled = this.#scheduled.filter((item) => item !== next);
		return next;
	}
}
