/** Tracks failed snapshot sources and when they may be read again. */

import type {Clock, RandomSource} from '@bilberryscale/core';
import type {SnapshotSource} from './snapshot-source.js';

/** The clock, the random source and the size of the fleet. */
export type SourceHealthOptions = {
	readonly clock: Clock;
	readonly random: RandomSource;
	readonly getHostCount: () => number;
};

/** A peer that failed is skipped for this long while other sources are usable; the time doubles with each failure in a row. */
const minCooldownMs = 2500;
const maxCooldownMs = 20_000;
/** A peer whose snapshot was too old is skipped for a shorter time, as it may catch up at any moment. */
const stalePeerCooldownMs = 400;
/**
 * The delay between two reads of a store that is down grows by this for each host
 * of the fleet. A host whose first source is the store keeps reading without the
 * delay, and the others learn from it.
 */
const storeRetryDelayPerHostMs = 30;
const maxStoreRetryDelayMs = 2000;
/** After a failed read, the store is considered unavailable to this host for this long. */
const storeFailureWindowMs = 3000;

/** Records the outcome of reads and selects the sources to read next. */
export class SourceHealth {
	readonly #options: SourceHealthOptions;
	readonly #cooldowns = new Map<
		string,
		{untilMs: number; durationMs: number}
	>();

	/** Whether the last read of the store failed. */
	#isStoreDown = false;
	/** When a read of the store last failed, on the monotonic clock. */
	#storeFailedAtMs = Number.NEGATIVE_INFINITY;
	/** When the store may be read again, on the monotonic clock. */
	#storeRetryAtMs = Number.NEGATIVE_INFINITY;

	/**
	 * @param options - The clock, the random source and the size of the fleet.
	 */
	constructor(options: SourceHealthOptions) {
		this.#options = options;
	}

	/** Gets whether a read of the store failed recently. */
	get hasRecentStoreFailure(): boolean {
		const elapsedMs = this.#options.clock.monotonicMs() - this.#storeFailedAtMs;
		return this.#isStoreDown && elapsedMs < storeFailureWindowMs;
	}

	/**
	 * Gets the sources to read now.
	 *
	 * @param sources - All sources in the order in which they are to be tried.
	 * @returns The sources without a cooldown; if there are none, all but a failed store whose retry is not due.
	 */
	getUsableSources(
		sources: readonly SnapshotSource[],
	): readonly SnapshotSource[] {
		const nowMs = this.#options.clock.monotonicMs();
		const canReadStore =
			sources[0]?.isStore === true || this.#storeRetryAtMs <= nowMs;
		const candidates = sources.filter(({isStore}) => !isStore || canReadStore);
		const usable = candidates.filter(
			({name}) => (this.#cooldowns.get(name)?.untilMs ?? 0) <= nowMs,
		);
		return usable.length > 0 ? usable : candidates;
	}

	/**
	 * Records a failed read.
	 *
	 * @param source - The source.
	 * @returns Whether the store has gone down with this failure.
	 */
	recordFailure(source: SnapshotSource): boolean {
		if (!source.isStore) {
			const previousMs = this.#cooldowns.get(source.name)?.durationMs ?? 0;
			this.#startCooldown(
				source,
				Math.min(maxCooldownMs, Math.max(minCooldownMs, previousMs * 2)),
			);
			return false;
		}

		const wasDown = this.#isStoreDown;
		this.#isStoreDown = true;
		this.#storeFailedAtMs = this.#options.clock.monotonicMs();
		this.#storeRetryAtMs = this.#storeFailedAtMs + this.#getStoreRetryDelayMs();
		return !wasDown;
	}

	/**
	 * Records that a peer answered with a snapshot that is too old.
	 *
	 * @param source - The peer.
	 */
	recordStale(source: SnapshotSource): void {
		this.#startCooldown(source, stalePeerCooldownMs);
	}

	/**
	 * Records a successful read.
	 *
	 * @param source - The source.
	 * @returns Whether the store has recovered with this read.
	 */
	recordSuccess(source: SnapshotSource): boolean {
		this.#cooldowns.delete(source.name);
		const isRecovered = source.isStore && this.#isStoreDown;
		if (isRecovered) {
			this.#isStoreDown = false;
		}

		return isRecovered;
	}

	#startCooldown({name}: SnapshotSource, durationMs: number): void {
		const untilMs = this.#options.clock.monotonicMs() + durationMs;
		this.#cooldowns.set(name, {untilMs, durationMs});
	}

	#getStoreRetryDelayMs(): number {
		const {getHostCount, random} = this.#options;
		const delayMs = Math.min(
			maxStoreRetryDelayMs,
			getHostCount() * storeRetryDelayPerHostMs,
		);
		return delayMs * (0.75 + random() / 2);
	}
}
