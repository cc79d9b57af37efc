/** The adaptive limit of this host's concurrent requests to a target. */

const decreaseFactor = 0.5;
const increaseStep = 0.1;
/** The maximum pause after a refusal, in mean latencies, before the jitter. */
const maxPauseRatio = 8;

/**
 * A limit with additive increase on success and multiplicative decrease on
 * refusal. In a refusal the target states that it did not run the request.
 *
 * @remarks The limit does not fall below one request. A host that may send
 * less than that pauses between attempts instead: a limit of a quarter
 * of a request means one request in a quarter of the time.
 */
export class ConcurrencyLimit {
	#limit: number;
	#slots: number;
	#consecutiveRefusals = 0;

	/**
	 * @param slots - The number of requests that the target runs concurrently.
	 */
	constructor(slots: number) {
		this.#limit = slots;
		this.#slots = slots;
	}

	/** Gets the maximum number of this host's open requests at the target, at least 1. */
	get maxRequests(): number {
		return Math.floor(this.#limit);
	}

	/**
	 * Applies the slots of a new bundle, which bound the limit.
	 *
	 * @param slots - The number of requests that the target runs concurrently.
	 */
	setSlots(slots: number): void {
		this.#slots = slots;
		this.#limit = Math.min(this.#limit, slots);
	}

	/** Records that the target served a request. */
	recordSuccess(): void {
		this.#consecutiveRefusals = 0;
		this.#limit = Math.min(
			this.#slots,
			this.#limit + increaseStep / this.#limit,
		);
	}

	/**
	 * Records that the target refused a request.
	 *
	 * @param latencyMs - The mean latency of the service.
	 * @param jitter - A random number from 0 to 1 that keeps hosts from retrying
	 * the target all at once.
	 * @returns How long to pause before the next attempt, in milliseconds.
	 */
	recordRefusal(latencyMs: number, jitter: number): number {
		this.#limit = Math.max(1, this.#limit * decreaseFactor);
		const pauseRatio = Math.min(2 ** this.#consecutiveRefusals, maxPauseRatio);
		this.#consecutiveRefusals++;
		return latencyMs * pauseRatio * (0.5 + jitter);
	}
}
