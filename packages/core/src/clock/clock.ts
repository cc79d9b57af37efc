/** The clock as an interface, so that tests decide what time it is. */

/** Ends a scheduled action before it runs; does nothing afterwards. */
export type Cancellation = () => void;

/** Tells the time and runs actions later. */
export type Clock = {
	/**
	 * Gets the monotonic time, which no operator and no time service steps.
	 *
	 * @returns Milliseconds since an arbitrary start.
	 */
	monotonicMs(): number;

	/**
	 * Gets the wall-clock time.
	 *
	 * @returns The date, which may step in either direction.
	 */
	now(): Date;

	/**
	 * Runs an action once after a delay.
	 *
	 * @param delayMs - The delay in milliseconds.
	 * @param action - What to run.
	 * @returns A function that cancels the action.
	 */
	schedule(delayMs: number, action: () => void): Cancellation;
};
