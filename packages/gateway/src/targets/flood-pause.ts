/** How long a target that sends bytes without end is left alone. */

/** The first pause, in milliseconds; each further flood doubles it. */
const firstPauseMs = 100;
const maxPauseMs = 30_000;

/** Pauses a target after floods, longer after each one that follows a pause. */
export class FloodPause {
	/** Until when the target is left alone, on the monotonic clock, in milliseconds. */
	untilMs = Number.NEGATIVE_INFINITY;
	#nextPauseMs = firstPauseMs;

	/**
	 * Records a flood. Those of requests that were sent before the pause don't make it longer.
	 *
	 * @param nowMs - The monotonic time, in milliseconds.
	 * @returns The pause that has begun, in milliseconds; undefined if the target is paused already.
	 */
	addFlood(nowMs: number): number | undefined {
		if (nowMs < this.untilMs) {
			return undefined;
		}

		const pauseMs = this.#nextPauseMs;
		this.untilMs = nowMs + pauseMs;
		this.#nextPauseMs = Math.min(maxPauseMs, pauseMs * 2);
		return pauseMs;
	}

	/** Records a whole response, which makes the next pause shorter. */
	addResponse(): void {
		this.#nextPauseMs = Math.max(firstPauseMs, this.#nextPauseMs / 2);
	}
}
