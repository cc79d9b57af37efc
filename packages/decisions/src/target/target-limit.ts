/** How many requests at once this host gives to a target. */

const cutRatio = 0.5;
const regainStep = 0.1;
const highestPauseRatio = 8;

/**
 * A limit that adapts to truthful refusals; below one it becomes a pause.
 *
 * @remarks A limit of a quarter of a request is one request in a quarter of
 * the time, so a host that may send less than one at once waits between sends.
 */
export class TargetLimit {
	#limit: number;
	#highest: number;
	#refusedInRow = 0;

	/**
	 * @param slots - How many requests the target runs at once.
	 */
	constructor(slots: number) {
		this.#limit = slots;
		this.#highest = slots;
	}

	/** Gets how many requests at once this host may have there; at least 1. */
	get requests(): number {
		return Math.floor(this.#limit);
	}

	/**
	 * Takes over what a new bundle says.
	 *
	 * @param slots - How many requests the target runs at once.
	 */
	setSlots(slots: number): void {
		this.#highest = slots;
		this.#limit = Math.min(this.#limit, slots);
	}

	/** Takes in that the target served a request. */
	addSuccess(): void {
		this.#refusedInRow = 0;
		this.#limit = Math.min(
			this.#highest,
			this.#limit + regainStep / this.#limit,
		);
	}

	/**
	 * Takes in that the target refused a request.
	 *
	 * @param latencyMs - The usual latency in the service, in milliseconds.
	 * @param jitter - A number from 0 to 1, so that hosts do not come back together.
	 * @returns For how long to send nothing there, in milliseconds.
	 */
	addRefusal(latencyMs: number, jitter: number): number {
		this.#limit = Math.max(1, this.#limit * cutRatio);
		const ratio = Math.min(2 ** this.#refusedInRow, highestPauseRatio);
		this.#refusedInRow++;
		return latencyMs * ratio * (0.5 + jitter);
	}
}
