/** Tracks failed snapshot sources and when they may be read again. */

import type {Clock, RandomSource} from '@bilberryscale/core';
import type {FreshnessBudget} from './freshness-budget.js';
import type {PeerReliability, SnapshotSource} from './snapshot-source.js';

/** The clock, the random source, the size of the fleet and the budget that limits delays. */
export type SourceHealthOptions = {
	readonly clock: Clock;
	readonly random: RandomSource;
	readonly getHostCount: () => number;
	readonly budget: FreshnessBudget;
};

/** A peer that failed is skipped for this long while other sources are usable; the time doubles with each failure in a row. */
const minCooldownMs = 2500;
const maxCooldownMs = 20_000;
/**
 * A peer whose snapshot was too old is skipped for a shorter time, as it may catch up at
 * any moment. The time doubles if it is too old again soon after.
 */
const minStaleCooldownMs = 400;
const maxStaleCooldownMs = 3200;
/**
 * The delay between two reads of a store that is down grows by this for each host
 * of the fleet. A host whose first source is the store reads it more often, and
 * the others learn from it.
 */
const storeRetryDelayPerHostMs = 60;
/** The same for a host that has no current snapshot, which can't serve until it has one. */
const startRetryDelayPerHostMs = 30;
const firstHostRetryDelayMs = 400;
/** By which share the delay varies. */
const storeRetrySpread = 1 / 32;
/** After a failed read, the store is considered unavailable to this host for this long. */
const storeFailureWindowMs = 3000;

/** Records the outcome of reads and selects the sources to read next. */
export class SourceHealth {
	readonly #options: SourceHealthOptions;
	readonly #cooldowns = new Map<
		string,
		{untilMs: number; durationMs: number}
	>();

	/** How long each peer was skipped the last time that its snapshot was too old, by name. */
	readonly #staleCooldowns = new Map<
		string,
		{untilMs: number; durationMs: number}
	>();

	#isStoreDown = false;
	/** Whether the store was the first source of the last read. */
	#isStoreFirst = false;
	#isStarting = false;
	/** When a read of the store last failed, on the monotonic clock. */
	#storeFailedAtMs = Number.NEGATIVE_INFINITY;
	/** When the store may be read again, on the monotonic clock. */
	#storeRetryAtMs = Number.NEGATIVE_INFINITY;

	/**
	 * @param options - The clock, the random source, the size of the fleet and the budget.
	 */
	constructor(options: SourceHealthOptions) {
		this.#options = options;
	}

	/** Gets whether a read of the store failed recently. */
	get hasRecentStoreFailure(): boolean {
		const elapsedMs = this.#options.clock.monotonicMs() - this.#storeFailedAtMs;
		return this.#isStoreDown && elapsedMs < storeFailureWindowMs;
	}

	/** Gets whether the store was the first source of the last read. */
	get isStoreFirst(): boolean {
		return this.#isStoreFirst;
	}

	/** Gets when the store may be read again after a failure, on the monotonic clock, in milliseconds; negative infinity if it is not down. */
	get storeRetryAtMs(): number {
		return this.#storeRetryAtMs;
	}

	/** Gets whether the last read of the store failed. */
	get isStoreDown(): boolean {
		return this.#isStoreDown;
	}

	/**
	 * Checks whether a peer may be read now.
	 *
	 * @param peer - The peer.
	 * @returns Whether it neither failed nor was stale a short time ago.
	 */
	isUsable({name}: SnapshotSource): boolean {
		const untilMs = this.#cooldowns.get(name)?.untilMs ?? 0;
		return untilMs <= this.#options.clock.monotonicMs();
	}

	/**
	 * Gets whether a peer may be tried before a source that works.
	 *
	 * @param peer - The peer.
	 * @returns `reliable` if its last read has succeeded and its snapshot was not too old lately, `suspect` if it
	 * failed longer ago, `unreliable` otherwise.
	 */
	getReliability({name}: SnapshotSource): PeerReliability {
		const nowMs = this.#options.clock.monotonicMs();
		const failed = this.#cooldowns.get(name);
		const hasProblem = [failed, this.#staleCooldowns.get(name)].some(
			(cooldown) =>
				cooldown !== undefined &&
				nowMs - cooldown.untilMs <= maxStaleCooldownMs,
		);
		if (hasProblem) {
			return 'unreliable';
		}

		return failed === undefined ? 'reliable' : 'suspect';
	}

	/**
	 * Gets the sources to read now.
	 *
	 * @param sources - All sources in the order in which they are to be tried.
	 * @param isStarting - Whether this host has no current snapshot yet, so that a store that is down is read when its retry is due.
	 * @returns The sources without a cooldown; if there are none, all but a store that may not be read.
	 */
	getUsableSources(
		sources: readonly SnapshotSource[],
		isStarting: boolean,
	): readonly SnapshotSource[] {
		this.#isStarting = isStarting;
		this.#isStoreFirst = sources[0]?.isStore === true;
		const isRetryDue =
			this.#isStoreFirst ||
			this.#storeRetryAtMs <= this.#options.clock.monotonicMs();
		const canReadStore = !this.#isStoreDown || (isStarting && isRetryDue);
		const candidates = sources.filter(({isStore}) => !isStore || canReadStore);
		const usable = candidates.filter((source) => this.isUsable(source));
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
		const {name} = source;
		const previous = this.#staleCooldowns.get(name);
		const sinceMs =
			this.#options.clock.monotonicMs() -
			(previous?.untilMs ?? Number.NEGATIVE_INFINITY);
		const durationMs =
			previous !== undefined && sinceMs < maxStaleCooldownMs
				? Math.min(maxStaleCooldownMs, previous.durationMs * 2)
				: minStaleCooldownMs;
		this.#startCooldown(source, durationMs);
		this.#staleCooldowns.set(name, this.#cooldowns.get(name)!);
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
			this.#storeRetryAtMs = Number.NEGATIVE_INFINITY;
		}

		return isRecovered;
	}

	#startCooldown({name}: SnapshotSource, durationMs: number): void {
		const untilMs = this.#options.clock.monotonicMs() + durationMs;
		this.#cooldowns.set(name, {untilMs, durationMs});
	}

	/** Gets the delay between a failed read of the store and the next one, in milliseconds. */
	#getStoreRetryDelayMs(): number {
		const {getHostCount, budget, random} = this.#options;
		const perHostMs = this.#isStarting
			? startRetryDelayPerHostMs
			: storeRetryDelayPerHostMs;
		const delayMs = Math.min(
			budget.maxStoreRetryDelayMs,
			this.#isStoreFirst ? firstHostRetryDelayMs : getHostCount() * perHostMs,
		);
		return delayMs * (1 - random() * storeRetrySpread);
	}
}
