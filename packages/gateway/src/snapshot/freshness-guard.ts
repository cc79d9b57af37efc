/** Reads the store directly when nothing else has confirmed the snapshot in time. */

import type {CancelFunction, Clock} from '@bilberryscale/core';

/** When a direct read is due, and how it is done. */
export type FreshnessGuardOptions = {
	readonly clock: Clock;
	/** Gets when a direct read is due, on the monotonic clock, in milliseconds; infinite for never. */
	readonly getDueMs: () => number;
	/** Gets the maximum time until it is asked for again, as it may also move forward, in milliseconds. */
	readonly getCheckDelayMs: () => number;
	/** Gets the minimum delay between two direct reads, in milliseconds. */
	readonly getReadDelayMs: () => number;
	/** Reads the store, and returns whether it has responded; never rejects. */
	readonly read: () => Promise<boolean>;
};

/** Minimum delay between two checks, in milliseconds. */
const minDelayMs = 1;

/** Runs beside the reads from other sources, so that none of their waits delays it. */
export class FreshnessGuard {
	readonly #options: FreshnessGuardOptions;
	#cancel: CancelFunction = () => undefined;
	#reading: Promise<boolean> | undefined;
	#isStopped = false;

	/**
	 * @param options - When a direct read is due, and how it is done.
	 */
	constructor(options: FreshnessGuardOptions) {
		this.#options = options;
	}

	/** Starts to check. */
	start(): void {
		this.#schedule(0);
	}

	/**
	 * Reads the store now; a read that is under way serves all who ask for one.
	 *
	 * @returns Whether the store has responded.
	 */
	async read(): Promise<boolean> {
		this.#reading ??= this.#options.read();
		try {
			return await this.#reading;
		} finally {
			this.#reading = undefined;
		}
	}

	/** Stops checking. */
	stop(): void {
		this.#isStopped = true;
		this.#cancel();
	}

	#schedule(minMs: number): void {
		if (this.#isStopped) {
			return;
		}

		const {clock, getDueMs, getCheckDelayMs} = this.#options;
		const untilDueMs = Math.min(
			getDueMs() - clock.monotonicMs(),
			getCheckDelayMs(),
		);
		this.#cancel = clock.schedule(
			Math.max(untilDueMs, minMs, minDelayMs),
			() => {
				void this.#check();
			},
		);
	}

	async #check(): Promise<void> {
		const {clock, getDueMs, getReadDelayMs} = this.#options;
		if (clock.monotonicMs() < getDueMs()) {
			this.#schedule(0);
			return;
		}

		await this.read();
		this.#schedule(getReadDelayMs());
	}
}
