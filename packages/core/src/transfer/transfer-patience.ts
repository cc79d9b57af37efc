/** Gives transfers from one source more time while they fail although they make progress. */

const maxFactor = 8;

/** Doubles with each transfer that fails midway, so that none is begun anew without end. */
export class TransferPatience {
	#factor = 1;

	/** How often longer than by default the next transfer may take once it has begun. */
	get factor(): number {
		return this.#factor;
	}

	/** Records a complete transfer. */
	addSuccess(): void {
		this.#factor = Math.max(1, this.#factor / 2);
	}

	/**
	 * Records a transfer that failed.
	 *
	 * @param hasProgressed - Whether it was on its way, so that more time might complete it.
	 */
	addFailure(hasProgressed: boolean): void {
		if (hasProgressed) {
			this.#factor = Math.min(maxFactor, this.#factor * 2);
		}
	}
}
