/** The clock of one host in a model of a fleet. */

import type {Clock} from '@bilberryscale/core';

/** A clock whose timers wait while its host is frozen and never run after it was stopped. */
export class HostClock implements Clock {
	isFrozen = false;
	isStopped = false;
	readonly #clock: Clock;
	readonly #deferred: Array<() => void> = [];

	constructor(clock: Clock) {
		this.#clock = clock;
	}

	monotonicMs(): number {
		return this.#clock.monotonicMs();
	}

	now(): Date {
		return this.#clock.now();
	}

	schedule(delayMs: number, action: () => void): () => void {
		return this.#clock.schedule(delayMs, () => {
			this.run(action);
		});
	}

	run(action: () => void): void {
		if (this.isStopped) {
			return;
		}

		if (this.isFrozen) {
			this.#deferred.push(action);
		} else {
			action();
		}
	}

	thaw(): void {
		this.isFrozen = false;
		for (const action of this.#deferred.splice(0)) {
			action();
		}
	}
}
