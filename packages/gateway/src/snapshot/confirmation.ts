/** Records when the store last confirmed the snapshot of this host, and through which hosts. */

import type {Clock} from '@bilberryscale/core';
import type {PublishedChanges} from './snapshot-source.js';

/** Keeps the latest confirmation of a snapshot. */
export class Confirmation {
	readonly #clock: Clock;
	#confirmedAtMs = Number.NEGATIVE_INFINITY;
	#count = 0;
	#via: readonly string[] = [];
	#viaAgesMs: readonly number[] = [];

	/**
	 * @param clock - The clock.
	 */
	constructor(clock: Clock) {
		this.#clock = clock;
	}

	/** Gets the time since the store confirmed the snapshot, in milliseconds; infinite if it never has. */
	get ageMs(): number {
		return this.#clock.monotonicMs() - this.#confirmedAtMs;
	}

	/** Gets when the store last confirmed the snapshot, on the monotonic clock, in milliseconds; negative infinity if it never has. */
	get confirmedAtMs(): number {
		return this.#confirmedAtMs;
	}

	/** Gets how often the snapshot was confirmed. */
	get count(): number {
		return this.#count;
	}

	/** Gets the hosts that have passed the latest confirmation on, the nearest first; none if it came from the store. */
	get via(): readonly string[] {
		return this.#via;
	}

	/** Gets how old the snapshots of these hosts were when they passed it on, in milliseconds. */
	get viaAgesMs(): readonly number[] {
		return this.#viaAgesMs;
	}

	/**
	 * Gets the age of what a source has just returned.
	 *
	 * @remarks Counted from the request, since the response may have waited at a host that stood still.
	 * @param changes - The result of the read.
	 * @param startedAtMs - When the read began, on the monotonic clock, in milliseconds.
	 * @returns The time since the store confirmed it, in milliseconds.
	 */
	getResultAgeMs(
		{ageMs, heldMs}: PublishedChanges,
		startedAtMs: number,
	): number {
		const elapsedMs = this.#clock.monotonicMs() - startedAtMs;
		return elapsedMs - Math.min(heldMs, elapsedMs) + ageMs;
	}

	/**
	 * Takes over the confirmation of a read, unless a newer one is known.
	 *
	 * @param changes - The result of the read.
	 * @param startedAtMs - When the read began, on the monotonic clock, in milliseconds.
	 * @returns Whether it is newer.
	 */
	renew(changes: PublishedChanges, startedAtMs: number): boolean {
		const confirmedAtMs =
			this.#clock.monotonicMs() - this.getResultAgeMs(changes, startedAtMs);
		if (confirmedAtMs <= this.#confirmedAtMs) {
			return false;
		}

		this.#confirmedAtMs = confirmedAtMs;
		this.#count++;
		this.#via = changes.via;
		this.#viaAgesMs = getViaAges(changes);
		return true;
	}
}

/**
 * Gets how old the snapshot was at each host that passed it on.
 *
 * @param changes - The result of a read.
 * @returns The ages, the nearest host first, in whole milliseconds.
 */
export function getViaAges({
	via,
	ageMs,
	viaAgesMs,
}: PublishedChanges): number[] {
	return via.length === 0 ? [] : [Math.round(ageMs), ...viaAgesMs];
}
