/** How warm a target is: a cold one carries little and collapses under load. */

/** The bounds of warming up. */
export type WarmthOptions = {
	readonly slots: number;
	/** How many requests at once a wholly cold target bears. */
	readonly coldAllowance: number;
};

const runsUntilWarm = 40;
const coldSlowdown = 3;
const overloadExponent = 2;
const mostOverload = 20;

/** The warmth of one target, from 0 (cold) to 1 (warm). */
export class Warmth {
	readonly #options: WarmthOptions;
	#warmth = 1;

	/**
	 * @param options - What the target carries cold and warm.
	 */
	constructor(options: WarmthOptions) {
		this.#options = options;
	}

	/** Tells whether the target is not yet warm. */
	get isCold(): boolean {
		return this.#warmth < 1;
	}

	/** Turns the target cold. */
	turnCold(): void {
		this.#warmth = 0;
	}

	/**
	 * Gets the factor on the service time of a request that begins now.
	 *
	 * @param running - How many requests run, this one included.
	 * @returns The factor; 1 when warm.
	 */
	getSlowdown(running: number): number {
		if (!this.isCold) {
			return 1;
		}

		const coldFactor = coldSlowdown - (coldSlowdown - 1) * this.#warmth;
		const overload = Math.max(1, running / this.#getBearable());
		return coldFactor * Math.min(mostOverload, overload ** overloadExponent);
	}

	/**
	 * Takes in the end of a run; a target under too much load does not warm.
	 *
	 * @param running - How many requests ran, the ended one included.
	 */
	noteEnd(running: number): void {
		if (this.isCold && running <= Math.ceil(this.#getBearable())) {
			this.#warmth = Math.min(1, this.#warmth + 1 / runsUntilWarm);
		}
	}

	#getBearable(): number {
		const {slots, coldAllowance} = this.#options;
		return coldAllowance + (slots - coldAllowance) * this.#warmth;
	}
}
