/** A FIFO queue of the waiting calls of one caller class. */

import type {WaitingCall} from './waiting-call.js';

/** The array is compacted only after this many calls were shifted. */
const minCompactionLength = 64;

/** The queue of one caller class within a fair queue. */
export class ClassQueue {
	/** The weight of the class in fair queueing. */
	weight: number;
	#calls: WaitingCall[] = [];
	#head = 0;
	#size = 0;

	/**
	 * @param weight - The weight of the class.
	 */
	constructor(weight: number) {
		this.weight = weight;
	}

	/** The number of waiting calls. */
	get size(): number {
		return this.#size;
	}

	/**
	 * Appends a call.
	 *
	 * @param waiting - The call.
	 */
	push(waiting: WaitingCall): void {
		this.#calls.push(waiting);
		this.#size++;
	}

	/** Removes and returns the oldest call, if any. */
	shift(): WaitingCall | undefined {
		while (this.#head < this.#calls.length) {
			const waiting = this.#calls[this.#head++]!;
			this.#compact();
			if (!waiting.isRemoved) {
				return this.#markRemoved(waiting);
			}
		}

		return undefined;
	}

	/** Removes and returns the newest call, if any. */
	pop(): WaitingCall | undefined {
		while (this.#calls.length > this.#head) {
			const waiting = this.#calls.pop()!;
			if (!waiting.isRemoved) {
				return this.#markRemoved(waiting);
			}
		}

		return undefined;
	}

	/**
	 * Removes a call at any position; its array entry is skipped later.
	 *
	 * @param waiting - The call, which must be in this queue.
	 */
	remove(waiting: WaitingCall): void {
		this.#markRemoved(waiting);
	}

	#markRemoved(waiting: WaitingCall): WaitingCall {
		waiting.isRemoved = true;
		this.#size--;
		return waiting;
	}

	#compact(): void {
		if (
			this.#head >= minCompactionLength &&
			this.#head * 2 >= this.#calls.length
		) {
			this.#calls = this.#calls.slice(this.#head);
			this.#head = 0;
		}
	}
}
