/** Decides from failures and latency whether to eject a target. */

const ejectionFailureThreshold = 3;
const minLatencySamples = 8;
const ejectionLatencyRatio = 3;
const baseEjectionMs = 1000;
const maxEjectionMs = 30_000;

/**
 * Whether a target gets requests.
 *
 * `open`: it does, up to its other limits.
 * `ejected`: it gets none.
 * `trial`: it is on probation after an ejection and gets one at a time.
 */
export type HealthState = 'open' | 'ejected' | 'trial';

/** The health of one target, judged by this host's attempts alone. */
export class TargetHealth {
	#state: HealthState = 'open';
	#consecutiveFailures = 0;
	#latencySamples = 0;
	#consecutiveEjections = 0;

	/** Gets the current state. */
	get state(): HealthState {
		return this.#state;
	}

	/**
	 * Records a served request.
	 *
	 * @param latencyRatio - The target's mean latency divided by that of the service.
	 * @returns Whether the request ended the target's probation.
	 */
	recordSuccess(latencyRatio: number): boolean {
		this.#consecutiveFailures = 0;
		this.#latencySamples++;
		if (this.#state !== 'trial' || latencyRatio >= ejectionLatencyRatio) {
			return false;
		}

		this.#state = 'open';
		this.#consecutiveEjections = 0;
		this.#latencySamples = 0;
		return true;
	}

	/** Records a failed attempt. */
	recordFailure(): void {
		this.#consecutiveFailures++;
	}

	/**
	 * Gets the reason to eject the target, for the audit.
	 *
	 * @param latencyRatio - The target's mean latency divided by that of the service.
	 * @returns The reason, or undefined if the target is no outlier.
	 */
	getEjectionReason(latencyRatio: number): string | undefined {
		const failureThreshold =
			this.#state === 'trial' ? 1 : ejectionFailureThreshold;
		if (this.#consecutiveFailures >= failureThreshold) {
			return `${this.#consecutiveFailures} sends in a row failed`;
		}

		const minSamples = this.#state === 'trial' ? 1 : minLatencySamples;
		return this.#latencySamples >= minSamples &&
			latencyRatio >= ejectionLatencyRatio
			? `it is ${latencyRatio.toFixed(1)} times slower than its peers`
			: undefined;
	}

	/**
	 * Ejects the target. Each consecutive ejection lasts twice as long, up to a
	 * maximum.
	 *
	 * @param jitter - A random number from 0 to 1 that keeps hosts from retrying
	 * the target all at once.
	 * @returns The duration of the ejection in milliseconds.
	 */
	eject(jitter: number): number {
		this.#state = 'ejected';
		this.#consecutiveFailures = 0;
		this.#latencySamples = 0;
		const durationMs = Math.min(
			baseEjectionMs * 2 ** this.#consecutiveEjections,
			maxEjectionMs,
		);
		this.#consecutiveEjections++;
		return durationMs * (0.5 + jitter);
	}

	/** Starts the probation after an ejection. */
	beginTrial(): void {
		this.#state = 'trial';
	}
}
