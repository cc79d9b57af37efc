/** The clock interface; tests inject a clock that they control. */

/** Cancels a scheduled action; has no effect once the action has run. */
export type CancelFunction = () => void;

/** Provides the current time and schedules actions. */
export type Clock = {
	/**
	 * Gets the monotonic time, which operators and time services cannot step.
	 *
	 * @returns The milliseconds since an arbitrary origin.
	 */
	monotonicMs(): number;

	/**
	 * Gets the wall-clock time.
	 *
	 * @returns The date, which may jump in either direction.
	 */
	now(): Date;

	/**
	 * Runs an action once after a delay.
	 *
	 * @param delayMs - The delay in milliseconds.
	 * @param action - The function to run.
	 * @returns A function that cancels the action.
	 */
	schedule(delayMs: number, action: () => void): CancelFunction;
};
