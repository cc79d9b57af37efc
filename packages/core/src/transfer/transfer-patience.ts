/** Gives transfers from one source more time while they fail although they make progress. */

/** A transfer that ends with fewer bytes has made no progress. */
const minProgressBytes = 1024;
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
	 * @param receivedBytes - How many bytes it had brought.
	 */
	addFailure(receivedBytes: number): void {
		if (receivedBytes >= minProgressBytes) {
			this.#factor = Math.min(maxFactor, this.#factor * 2);
		}
	}
}
