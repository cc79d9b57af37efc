/** The waiting calls of one class, first come first served. */

import type {WaitingCall} from './waiting-call.js';

const compactAt = 64;

/** The lane of one class of callers in a fair queue. */
export class ClassLane {
	/** The weight of the class. */
	weight: number;
	/** The virtual time at which the class may go next. */
	startTag = 0;
	#calls: WaitingCall[] = [];
	#head = 0;
	#size = 0;

	/**
	 * @param weight - The weight of the class.
	 */
	constructor(weight: number) {
		this.weight = weight;
	}

	/** Gets how many calls wait. */
	get size(): number {
		return this.#size;
	}

	/**
	 * Adds a call at the end.
	 *
	 * @param waiting - The call.
	 */
	push(waiting: WaitingCall): void {
		this.#calls.push(waiting);
		this.#size++;
	}

	/** Takes the call that waits the longest, if any. */
	shift(): WaitingCall | undefined {
		while (this.#head < this.#calls.length) {
			const waiting = this.#calls[this.#head++]!;
			this.#compact();
			if (!waiting.isGone) {
				return this.#leave(waiting);
			}
		}

		return undefined;
	}

	/** Takes the call that came last, if any. */
	pop(): WaitingCall | undefined {
		while (this.#calls.length > this.#head) {
			const waiting = this.#calls.pop()!;
			if (!waiting.isGone) {
				return this.#leave(waiting);
			}
		}

		return undefined;
	}

	/**
	 * Removes a call from wherever it stands.
	 *
	 * @param waiting - The call, which must be in this lane.
	 */
	remove(waiting: WaitingCall): void {
		this.#leave(waiting);
	}

	#leave(waiting: WaitingCall): WaitingCall {
		waiting.isGone = true;
		this.#size--;
		return waiting;
	}

	#compact(): void {
		if (this.#head >= compactAt && this.#head * 2 >= this.#calls.length) {
			this.#calls = this.#calls.slice(this.#head);
			this.#head = 0;
		}
	}
}
