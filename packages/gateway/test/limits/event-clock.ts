/** A clock for tests with many timers, which it keeps in a heap. */

import type {Clock} from '@bilberryscale/core';

type Timer = {
	readonly dueMs: number;
	readonly order: number;
	action: () => void;
};

/** A clock that advances only on request. */
export class EventClock implements Clock {
	#nowMs = 0;
	#nextOrder = 0;
	/** A binary heap, the earliest timer first. */
	readonly #timers: Timer[] = [];

	monotonicMs(): number {
		return this.#nowMs;
	}

	now(): Date {
		return new Date(this.#nowMs);
	}

	schedule(delayMs: number, action: () => void): () => void {
		const timer: Timer = {
			dueMs: this.#nowMs + Math.max(0, delayMs),
			order: this.#nextOrder++,
			action,
		};
		this.#timers.push(timer);
		this.#moveUp(this.#timers.length - 1);
		return () => {
			timer.action = () => undefined;
		};
	}

	/** Advances the time and runs the actions that become due, in order. */
	advance(durationMs: number): void {
		const endMs = this.#nowMs + durationMs;
		for (
			let first = this.#timers[0];
			first !== undefined && first.dueMs <= endMs;
			first = this.#timers[0]
		) {
			this.#removeFirst();
			this.#nowMs = first.dueMs;
			first.action();
		}

		this.#nowMs = endMs;
	}

	#removeFirst(): void {
		const last = this.#timers.pop()!;
		if (this.#timers.length > 0) {
			this.#timers[0] = last;
			this.#moveDown(0);
		}
	}

	#moveUp(start: number): void {
		let index = start;
		while (index > 0) {
			const parent = Math.floor((index - 1) / 2);
			if (!this.#isEarlier(index, parent)) {
				return;
			}

			this.#swap(index, parent);
			index = parent;
		}
	}

	#moveDown(start: number): void {
		let index = start;
		for (;;) {
			const [left, right] = [2 * index + 1, 2 * index + 2];
			const child =
				right < this.#timers.length && this.#isEarlier(right, left)
					? right
					: left;
			if (child >= this.#timers.length || !this.#isEarlier(child, index)) {
				return;
			}

			this.#swap(index, child);
			index = child;
		}
	}

	#isEarlier(a: number, b: number): boolean {
		const [first, second] = [this.#timers[a]!, this.#timers[b]!];
		return first.dueMs === second.dueMs
			? first.order < second.order
			: first.dueMs < second.dueMs;
	}

	#swap(a: number, b: number): void {
		const timer = this.#timers[a]!;
		this.#timers[a] = this.#timers[b]!;
		this.#timers[b] = timer;
	}
}
