/** How warm a target is: a cold one carries little and collapses under load. */

/** The bounds of warming up. */
export type WarmupOptions = {
	readonly slots: number;
	/** How many requests at once a wholly cold target bears. */
	readonly coldAllowance: number;
};

const warmupRuns = 40;
const coldSlowdownFactor = 3;
const overloadExponent = 2;
const maxOverloadFactor = 20;

/** The warmth of one target, from 0 (cold) to 1 (warm). */
export class WarmupModel {
	readonly #options: WarmupOptions;
	#progress = 1;

	/**
	 * @param options - What the target carries cold and warm.
	 */
	constructor(options: WarmupOptions) {
		this.#options = options;
	}

	/** Tells whether the target is not yet warm. */
	get isCold(): boolean {
		return this.#progress < 1;
	}

	/** Turns the target cold. */
	turnCold(): void {
		this.#progress = 0;
	}

	/**
	 * Gets the factor on the service time of a request that begins now.
	 *
	 * @param running - How many requests run, this one included.
	 * @returns The factor; 1 when warm.
	 */
	getSlowdownFactor(running: number): number {
		if (!this.isCold) {
			return 1;
		}

		const coldFactor = coldSlowdownFactor - (coldSlowdownFactor - 1) * this.#progress;
		const overload = Math.max(1, running / this.#getCapacity());
		return coldFactor * Math.min(maxOverloadFactor, overload ** overloadExponent);
	}

	/**
	 * Takes in the end of a run; a target under too much load does not warm.
	 *
	 * @param running - How many requests ran, the ended one included.
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
