/** Which sources of knowledge failed of late, and when they may be asked again. */

import type {Clock, RandomSource} from '@bilberryscale/core';
import type {PublishedReader} from './published-reader.js';

/** What the record works with. */
export type SourceHealthOptions = {
	readonly clock: Clock;
	readonly random: RandomSource;
	readonly getHostCount: () => number;
};

/** A source that failed is passed over for so long while others are left, in milliseconds. */
const shortestAvoidMs = 2500;
const longestAvoidMs = 20_000;
/** A peer whose knowledge was too old is passed over for so long, in milliseconds: it may learn at any moment. */
const staleAvoidMs = 400;
/** How much of the time between two questions to a lost store each host adds, in milliseconds; one host in front asks on, and the others learn from it. */
const lostStorePauseMs = 30;
const longestLostStorePauseMs = 2000;
/** So long after a failure a host counts as turned away by the store, in milliseconds. */
const turnedAwayMs = 3000;

/** Remembers how sources answered. */
export class SourceHealth {
	readonly #options: SourceHealthOptions;
	readonly #avoided = new Map<string, {untilMs: number; forMs: number}>();
	/** Whether the store failed and has not answered this host since. */
	#isStoreLost = false;
	/** When the store failed last, on the monotonic clock. */
	#storeFailedAtMs = Number.NEGATIVE_INFINITY;
	/** When the store may be asked again, on the monotonic clock. */
	#storeRetryAtMs = Number.NEGATIVE_INFINITY;

	/**
	 * @param options - The clock and the size of the fleet.
	 */
	constructor(options: SourceHealthOptions) {
		this.#options = options;
	}

	/** Gets whether the store turns this host away; others must not rely on it, as it may learn from them. */
	get isTurnedAway(): boolean {
		const sinceMs = this.#options.clock.monotonicMs() - this.#storeFailedAtMs;
		return this.#isStoreLost && sinceMs < turnedAwayMs;
	}

	/**
	 * Gets the sources to try now.
	 *
	 * @param readers - All sources in their order.
	 * @returns Those that are not passed over; if that is none, all but a lost store that was just asked.
	 */
	getUsable(readers: readonly PublishedReader[]): readonly PublishedReader[] {
		const nowMs = this.#options.clock.monotonicMs();
		const mayAskStore =
			readers[0]?.isStore === true || this.#storeRetryAtMs <= nowMs;
		const open = readers.filter(({isStore}) => !isStore || mayAskStore);
		const usable = open.filter(
			({name}) => (this.#avoided.get(name)?.untilMs ?? 0) <= nowMs,
		);
		return usable.length > 0 ? usable : open;
	}

	/**
	 * Notes that a source failed.
	 *
	 * @param reader - The source.
	 * @returns Whether the store is lost by that.
	 */
	noteFailure(reader: PublishedReader): boolean {
		if (!reader.isStore) {
			const former = this.#avoided.get(reader.name)?.forMs ?? 0;
			this.#avoid(
				reader,
				Math.min(longestAvoidMs, Math.max(shortestAvoidMs, former * 2)),
			);
			return false;
		}

		const wasLost = this.#isStoreLost;
		this.#isStoreLost = true;
		this.#storeFailedAtMs = this.#options.clock.monotonicMs();
		this.#storeRetryAtMs = this.#storeFailedAtMs + this.#getLostStorePauseMs();
		return !wasLost;
	}

	/**
	 * Notes that a peer answered with knowledge that is too old.
	 *
	 * @param reader - The peer.
	 */
	noteStale(reader: PublishedReader): void {
		this.#avoid(reader, staleAvoidMs);
	}

	/**
	 * Notes that a source answered.
	 *
	 * @param reader - The source.
	 * @returns Whether the store is back by that.
	 */
	noteSuccess(reader: PublishedReader): boolean {
		this.#avoided.delete(reader.name);
		const isBack = reader.isStore && this.#isStoreLost;
		if (isBack) {
			this.#isStoreLost = false;
		}

		return isBack;
	}

	#avoid({name}: PublishedReader, forMs: number): void {
		const untilMs = this.#options.clock.monotonicMs() + forMs;
		this.#avoided.set(name, {untilMs, forMs});
	}

	#getLostStorePauseMs(): number {
		const {getHostCount, random} = this.#options;
		const pauseMs = Math.min(
			longestLostStorePauseMs,
			getHostCount() * lostStorePauseMs,
		);
		return pauseMs * (0.75 + random() / 2);
	}
}
