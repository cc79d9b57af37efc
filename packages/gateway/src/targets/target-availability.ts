/** Whether a target accepts requests, by what it says in its own responses. */

import {TargetLimit} from './target-limit.js';

/** What a response says about the target's willingness to accept requests. */
export type AvailabilityNotice = {
	/** Whether the target is shutting down. */
	readonly isLeaving: boolean;
	/** For how long the target accepts no requests of this host, in milliseconds; undefined if it does not say. */
	readonly pauseMs: number | undefined;
	/** A pause that cannot be used as sent; it is ignored or shortened. */
	readonly unusablePause?: string | undefined;
	/** How many requests a second the target accepts from all hosts together; undefined if it names no limit. */
	readonly limitPerSecond?: number | undefined;
	/** A limit that cannot be read; the limit that was known before stays in force. */
	readonly unusableLimit?: string | undefined;
};

/** A change that a notice has brought. */
export type AvailabilityChange = 'leaving' | 'pausing';

/**
 * The availability of one incarnation of a target. Leaving is final, because a
 * target that starts again is another incarnation.
 */
export class TargetAvailability {
	/** How many requests a second it accepts. */
	readonly limit: TargetLimit;
	#isLeaving: boolean;
	#pausedUntilMs = Number.NEGATIVE_INFINITY;

	/**
	 * @param isLeaving - Whether the incarnation is known to be shutting down.
	 * @param limit - The limit that the incarnation is known to have named.
	 */
	constructor(isLeaving = false, limit = new TargetLimit()) {
		this.#isLeaving = isLeaving;
		this.limit = limit;
	}

	/** Gets whether the target is shutting down. */
	get isLeaving(): boolean {
		return this.#isLeaving;
	}

	/** Gets until when the target accepts no requests, on the monotonic clock, in milliseconds. */
	get pausedUntilMs(): number {
		return this.#pausedUntilMs;
	}

	/**
	 * Checks whether the target may receive new requests.
	 *
	 * @param nowMs - The monotonic time in milliseconds.
	 * @returns Whether it may.
	 */
	isAvailable(nowMs: number): boolean {
		return !this.#isLeaving && this.#pausedUntilMs <= nowMs;
	}

	/** Records that the target is shutting down. */
	setLeaving(): void {
		this.#isLeaving = true;
	}

	/**
	 * Records what a response says.
	 *
	 * @param notice - The notice.
	 * @param nowMs - The monotonic time in milliseconds.
	 * @returns The change that it has brought; undefined if it brought none.
	 */
	add(
		{isLeaving, pauseMs}: AvailabilityNotice,
		nowMs: number,
	): AvailabilityChange | undefined {
		if (isLeaving && !this.#isLeaving) {
			this.#isLeaving = true;
			return 'leaving';
		}

		const pausedUntilMs = nowMs + (pauseMs ?? 0);
		if (pauseMs === undefined || pausedUntilMs <= this.#pausedUntilMs) {
			return undefined;
		}

		const wasPaused = this.#pausedUntilMs > nowMs;
		this.#pausedUntilMs = pausedUntilMs;
		return wasPaused ? undefined : 'pausing';
	}
}
