/** What a target says of itself in an answer. */

/** The load and the condition of a target at one moment. */
export type TargetReport = {
	/** When the answer came, on the monotonic clock, in milliseconds. */
	readonly receivedAtMs: number;
	/** The requests that it runs. */
	readonly running: number;
	/** The requests that wait in it. */
	readonly waiting: number;
	/** How many requests it runs at once. */
	readonly slots: number;
	/** How many times longer than usual work takes there now. */
	readonly slowness: number;
};

/** A report with what only the health path tells. */
export type HealthReport = TargetReport & {
	/** Whether the target calls itself healthy. */
	readonly isHealthy: boolean;
	/** How much longer it is cold, in milliseconds. */
	readonly coldMs: number;
	/** Which target answered; undefined if it does not say. */
	readonly answeredBy: string | undefined;
};
