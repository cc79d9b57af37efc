/** How much of what a connection has received is parsed at once. */

/** The bounds of a slice, in bytes. */
export type SliceBounds = {
	readonly initialBytes: number;
	readonly minBytes: number;
	readonly maxBytes: number;
};

/** Slices are made smaller and larger to take about this long, in milliseconds. */
const sliceMs = 0.5;

/** Adapts the size of slices to the time that they take. */
export class SliceSize {
	/** The size of the next slice, in bytes. */
	bytes: number;
	readonly #bounds: SliceBounds;

	/**
	 * @param bounds - The bounds.
	 */
	constructor(bounds: SliceBounds) {
		this.#bounds = bounds;
		this.bytes = bounds.initialBytes;
	}

	/**
	 * Adapts the size of the next slice.
	 *
	 * @param durationMs - How long the last slice took, in milliseconds.
	 */
	adapt(durationMs: number): void {
		const {minBytes, maxBytes} = this.#bounds;
		if (durationMs > sliceMs) {
			this.bytes = Math.max(minBytes, Math.floor(this.bytes / 2));
		} else if (durationMs < sliceMs / 2) {
			this.bytes = Math.min(maxBytes, this.bytes * 2);
		}
	}

	/** Starts anew with the initial size. */
	reset(): void {
		this.bytes = this.#bounds.initialBytes;
	}
}
