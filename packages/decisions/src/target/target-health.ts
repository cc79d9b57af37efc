/** Whether a target is ejected for errors or slowness. */

const failuresToEject = 3;
const samplesToJudge = 8;
const slowRatio = 3;
const firstEjectionMs = 1000;
const highestEjectionMs = 30_000;

/** `open`: takes work. `ejected`: takes none. `trial`: takes one at a time. */
export type HealthState = 'open' | 'ejected' | 'trial';

/** The health of one target, as this host sees it. */
export class TargetHealth {
	#state: HealthState = 'open';
	#failuresInRow = 0;
	#samples = 0;
	#ejections = 0;

	/** Gets the state. */
	get state(): HealthState {
		return this.#state;
	}

	/**
	 * Takes in a served request.
	 *
	 * @param ratio - The target's average latency divided by that of its peers.
	 * @returns Whether the target was restored by it.
	 */
	addSuccess(ratio: number): boolean {
		this.#failuresInRow = 0;
		this.#samples++;
		if (this.#state !== 'trial' || ratio >= slowRatio) {
			return false;
		}

		this.#state = 'open';
		this.#ejections = 0;
		this.#samples = 0;
		return true;
	}

	/** Takes in a send that failed. */
	addFailure(): void {
		this.#failuresInRow++;
	}

	/**
	 * Gets why the target should be ejected.
	 *
	 * @param ratio - The target's average latency divided by that of its peers.
	 * @returns One sentence, or undefined if it is well.
	 */
	getFault(ratio: number): string | undefined {
		const allowed = this.#state === 'trial' ? 1 : failuresToEject;
		if (this.#failuresInRow >= allowed) {
			return `${this.#failuresInRow} sends in a row failed`;
		}

		const needed = this.#state === 'trial' ? 1 : samplesToJudge;
		return this.#samples >= needed && ratio >= slowRatio
			? `it is ${ratio.toFixed(1)} times slower than its peers`
			: undefined;
	}

	/**
	 * Ejects the target.
	 *
	 * @param jitter - A number from 0 to 1, so that hosts do not come back together.
	 * @returns For how long, in milliseconds.
	 */
	eject(jitter: number): number {
		this.#state = 'ejected';
		this.#failuresInRow = 0;
		this.#samples = 0;
		const durationMs = Math.min(
			firstEjectionMs * 2 ** this.#ejections,
			highestEjectionMs,
		);
		this.#ejections++;
		return durationMs * (0.5 + jitter);
	}

	/** Lets single requests through after an ejection. */
	beginTrial(): void {
		this.#state = 'trial';
	}
}
