/** Averages over all targets of a service, from this host's attempts. */

const smoothingFactor = 0.02;
const defaultLatencyMs = 20;

/** Exponential moving averages over all targets of a service. */
export class ServiceAverages {
	#latencyMs: number | undefined;
	#otherHostsLoad = 0;
	#refusedShare = 0;

	/** Gets the mean latency of a served request, or a default before the first. */
	get latencyMs(): number {
		return this.#latencyMs ?? defaultLatencyMs;
	}

	/** Gets the mean number of requests that other hosts have at a target. */
	get otherHostsLoad(): number {
		return this.#otherHostsLoad;
	}

	/** Gets the fraction of recent attempts that targets refused, from 0 to 1. */
	get refusedShare(): number {
		return this.#refusedShare;
	}

	/**
	 * Adds a latency sample.
	 *
	 * @param latencyMs - The latency in milliseconds.
	 */
	recordLatency(latencyMs: number): void {
		const previousMs = this.#latencyMs ?? latencyMs;
		this.#latencyMs = previousMs + smoothingFactor * (latencyMs - previousMs);
	}

	/**
	 * Adds a sample from a load report.
	 *
	 * @param inFlight - The number of other hosts' requests at the target.
	 */
	recordOtherHostsLoad(inFlight: number): void {
		this.#otherHostsLoad += smoothingFactor * (inFlight - this.#otherHostsLoad);
	}

	/**
	 * Records whether a target refused an attempt.
	 *
	 * @param isRefused - Whether the target refused it.
	 */
	recordAttempt(isRefused: boolean): void {
		const sample = isRefused ? 1 : 0;
		this.#refusedShare += smoothingFactor * (sample - this.#refusedShare);
	}
}
