/** Limits the rate at which this host probes the targets of a service. */

/** Share of the limit for all hosts that is used. */
const usedShare = 0.6;
/** Capacity of the bucket, in seconds of its refill rate. */
const burstSeconds = 30;
const msPerSecond = 1000;

/** A token bucket with this host's share of the probes that targets may get. */
export class ProbeBudget {
	readonly #getProbesPerTargetSecond: () => number;
	readonly #getHostCount: () => number;
	#tokens: number | undefined;
	#filledAtMs = 0;

	/**
	 * @param getProbesPerTargetSecond - Gets how many probes per second a target may get from all hosts together.
	 * @param getHostCount - Gets the number of hosts that share the limit.
	 */
	constructor(
		getProbesPerTargetSecond: () => number,
		getHostCount: () => number,
	) {
		this.#getProbesPerTargetSecond = getProbesPerTargetSecond;
		this.#getHostCount = getHostCount;
	}

	/**
	 * Takes probes out of the budget.
	 *
	 * @param requested - The number of probes requested.
	 * @param targetCount - The number of targets among which the probes are spread.
	 * @param nowMs - The monotonic time in milliseconds.
	 * @returns The number of probes granted, at most the number requested.
	 */
	take(requested: number, targetCount: number, nowMs: number): number {
		const refillPerSecond =
			(usedShare * this.#getProbesPerTargetSecond() * targetCount) /
			this.#getHostCount();
		const capacity = refillPerSecond * burstSeconds;
		const filled =
			(this.#tokens ?? capacity) +
			((nowMs - this.#filledAtMs) / msPerSecond) * refillPerSecond;
		this.#filledAtMs = nowMs;
		const available = Math.min(capacity, filled);
		const taken = Math.min(requested, Math.floor(available));
		this.#tokens = available - taken;
		return taken;
	}
}
