/** Models a cold start: the target is slow and degrades sharply under load until it is warm. */

/** The capacity of a target, cold and warm. */
export type WarmupOptions = {
	/** The number of concurrent requests that a warm target handles. */
	readonly slots: number;
	/** The number of concurrent requests that a completely cold target handles without overload. */
	readonly coldAllowance: number;
};

const warmupRuns = 40;
const coldSlowdownFactor = 3;
const overloadExponent = 2;
const maxOverload = 20;

/** The warm-up of one target, from 0 (cold) to 1 (warm). */
export class WarmupModel {
	readonly #options: WarmupOptions;
	#progress = 1;

	/**
	 * @param options - The capacity of the target, cold and warm.
	 */
	constructor(options: WarmupOptions) {
		this.#options = options;
	}

	/** Checks whether the target is still warming up. */
	get isCold(): boolean {
		return this.#progress < 1;
	}

	/** Resets the warm-up. */
	turnCold(): void {
		this.#progress = 0;
	}

	/**
	 * Gets the factor on the service time of a request that starts now.
	 *
	 * @param running - The number of running requests, including this one.
	 * @returns The factor; 1 if the target is warm.
	 */
	getSlowdownFactor(running: number): number {
		if (!this.isCold) {
			return 1;
		}

		const coldFactor =
			coldSlowdownFactor - (coldSlowdownFactor - 1) * this.#progress;
		const overload = Math.max(1, running / this.#getCapacity());
		return coldFactor * Math.min(maxOverload, overload ** overloadExponent);
	}

	/**
	 * Advances the warm-up at the end of a run, unless the target was overloaded.
	 *
	 * @param running - The number of running requests, including the ended one.
	 */
	recordRunEnd(running: number): void {
		if (this.isCold && running <= Math.ceil(this.#getCapacity())) {
			this.#progress = Math.min(1, this.#progress + 1 / warmupRuns);
		}
	}

	#getCapacity(): number {
		const {slots, coldAllowance} = this.#options;
		return coldAllowance + (slots - coldAllowance) * this.#progress;
	}
}
