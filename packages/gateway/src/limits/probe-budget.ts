/** Limits the rate at which this host probes the targets of a service. */

/** The limit and the hosts that share it. */
export type ProbeBudgetOptions = {
	/** Gets how many probes per second a target may get from all hosts together. */
	readonly getProbesPerTargetSecond: () => number;
	/**
	 * Gets the number of hosts that share the limit.
	 *
	 * @param targetCount - The number of the service's targets.
	 * @returns The number, or an upper bound on it.
	 */
	readonly getHostCount: (targetCount: number) => number;
	/** When this host started, on the monotonic clock, in milliseconds. */
	readonly startedAtMs: number;
};

/** Share of the limit for all hosts that is used. */
const usedShare = 0.6;
/** Capacity of the bucket, in seconds of its refill rate. */
const burstSeconds = 30;
/**
 * What a host that has just started may use at once, in seconds of the refill rate. A process that is killed
 * loses what it has saved up, so its successor starts with little, which the unused share of the limit covers.
 */
const startSeconds = 1;
const msPerSecond = 1000;

/** A token bucket with this host's share of the probes that targets may get. */
export class ProbeBudget {
	readonly #options: ProbeBudgetOptions;
	#tokens: number | undefined;
	#filledAtMs: number;

	/**
	 * @param options - The limit and the hosts that share it.
	 */
	constructor(options: ProbeBudgetOptions) {
		this.#options = options;
		this.#filledAtMs = options.startedAtMs;
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
		const {getProbesPerTargetSecond, getHostCount} = this.#options;
		const refillPerSecond =
			(usedShare * getProbesPerTargetSecond() * targetCount) /
			getHostCount(targetCount);
		const filled =
			(this.#tokens ?? refillPerSecond * startSeconds) +
			((nowMs - this.#filledAtMs) / msPerSecond) * refillPerSecond;
		this.#filledAtMs = nowMs;
		const available = Math.min(refillPerSecond * burstSeconds, filled);
		const taken = Math.min(requested, Math.floor(available));
		this.#tokens = available - taken;
		return taken;
	}
}
