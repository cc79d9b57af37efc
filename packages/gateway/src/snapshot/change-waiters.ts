/** Lets peers wait until the snapshot changes or is confirmed again. */

import type {Clock} from '@bilberryscale/core';

type Waiter = {
	readonly finish: () => void;
	/** Whether the wait also ends when the snapshot is confirmed again. */
	readonly endsOnConfirmation: boolean;
};

/** Keeps the waits of all peers. */
export class ChangeWaiters {
	readonly #clock: Clock;
	readonly #waiters = new Set<Waiter>();

	/**
	 * @param clock - The clock.
	 */
	constructor(clock: Clock) {
		this.#clock = clock;
	}

	/**
	 * Waits until the peers are notified.
	 *
	 * @param waitMs - The maximum wait, in milliseconds.
	 * @param endsOnConfirmation - Whether the wait also ends when the snapshot is confirmed again.
	 * @returns How long it has waited, in whole milliseconds.
	 */
	async wait(waitMs: number, endsOnConfirmation: boolean): Promise<number> {
		const startedAtMs = this.#clock.monotonicMs();
		await new Promise<void>((resolve) => {
			const finish = () => {
				cancel();
				this.#waiters.delete(waiter);
				resolve();
			};

			const cancel = this.#clock.schedule(waitMs, finish);
			const waiter = {finish, endsOnConfirmation};
			this.#waiters.add(waiter);
		});
		return Math.floor(this.#clock.monotonicMs() - startedAtMs);
	}

	/** Ends all waits, because the snapshot has changed or the store was lost. */
	notifyChange(): void {
		for (const {finish} of this.#waiters) {
			finish();
		}
	}

	/** Ends the waits that a confirmation ends. */
	notifyConfirmation(): void {
		for (const {finish, endsOnConfirmation} of this.#waiters) {
			if (endsOnConfirmation) {
				finish();
			}
		}
	}
}
