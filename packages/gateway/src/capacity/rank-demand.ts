/** Measures how many slots the requests of each rank keep busy that arrive at this host. */

/** Time constant of the averages, in milliseconds. */
const smoothingMs = 4000;
/** Lower bound on the time that an average covers, so that the first requests of a host don't count as a high rate. */
const minCoveredMs = 1000;

/** Exponentially weighted sums of service times by rank, for one service. */
export class RankDemand {
	readonly #startedAtMs: number;
	readonly #sums = new Map<number, number>();
	#decayedAtMs: number;

	/**
	 * @param nowMs - The monotonic time in milliseconds.
	 */
	constructor(nowMs: number) {
		this.#startedAtMs = nowMs;
		this.#decayedAtMs = nowMs;
	}

	/**
	 * Adds an arriving request.
	 *
	 * @param rank - Its rank.
	 * @param serviceTimeMs - The typical service time of such requests, in milliseconds.
	 * @param nowMs - The monotonic time in milliseconds.
	 */
	add(rank: number, serviceTimeMs: number, nowMs: number): void {
		this.#decay(nowMs);
		this.#sums.set(rank, (this.#sums.get(rank) ?? 0) + serviceTimeMs);
	}

	/**
	 * Gets the demand of each rank: its arrival rate times its service time.
	 *
	 * @param nowMs - The monotonic time in milliseconds.
	 * @returns The mean number of slots kept busy, by rank.
	 */
	get(nowMs: number): Map<number, number> {
		this.#decay(nowMs);
		const ageMs = Math.max(minCoveredMs, nowMs - this.#startedAtMs);
		const coveredMs = smoothingMs * (1 - Math.exp(-ageMs / smoothingMs));
		return new Map(
			[...this.#sums].map(([rank, sumMs]) => [rank, sumMs / coveredMs]),
		);
	}

	#decay(nowMs: number): void {
		const retained = Math.exp((this.#decayedAtMs - nowMs) / smoothingMs);
		this.#decayedAtMs = nowMs;
		for (const [rank, sumMs] of this.#sums) {
			this.#sums.set(rank, sumMs * retained);
		}
	}
}
