/** What the targets of a service have in common, as this host sees it. */

const sampleWeight = 0.02;
const assumedLatencyMs = 20;

/** Moving averages over all targets of a service. */
export class ServiceAverages {
	#latencyMs: number | undefined;
	#load = 0;
	#refusedShare = 0;

	/** Gets the average latency in milliseconds; assumed before the first. */
	get latencyMs(): number {
		return this.#latencyMs ?? assumedLatencyMs;
	}

	/** Gets the average of the reported requests that other hosts have there. */
	get load(): number {
		return this.#load;
	}

	/** Gets the share of recent sends that targets refused, from 0 to 1. */
	get refusedShare(): number {
		return this.#refusedShare;
	}

	/**
	 * Takes in a latency.
	 *
	 * @param latencyMs - The latency in milliseconds.
	 */
	addLatency(latencyMs: number): void {
		const former = this.#latencyMs ?? latencyMs;
		this.#latencyMs = former + sampleWeight * (latencyMs - former);
	}

	/**
	 * Takes in a report.
	 *
	 * @param inFlight - The requests that other hosts have on the target.
	 */
	addLoad(inFlight: number): void {
		this.#load += sampleWeight * (inFlight - this.#load);
	}

	/**
	 * Takes in whether a target refused a send.
	 *
	 * @param isRefused - Whether it refused.
	 */
	addAnswer(isRefused: boolean): void {
		const sample = isRefused ? 1 : 0;
		this.#refusedShare += sampleWeight * (sample - this.#refusedShare);
	}
}
