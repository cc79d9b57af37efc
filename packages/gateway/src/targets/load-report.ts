/** The load and the health that targets report in their responses. */

/** The load of a target at the time of a response. */
export type LoadReport = {
	/** When the response arrived, on the monotonic clock, in milliseconds. */
	readonly receivedAtMs: number;
	/** The number of requests it runs. */
	readonly running: number;
	/** The number of requests in its queue. */
	readonly waiting: number;
	/** How many requests it runs at once. */
	readonly slots: number;
	/** Ratio of its current service times to the typical ones. */
	readonly slowdownFactor: number;
};

/** A load report with the fields that only the health path returns. */
export type HealthReport = LoadReport & {
	/** Whether the target reports itself healthy. */
	readonly isHealthy: boolean;
	/** The remaining warm-up time, in milliseconds. */
	readonly remainingWarmUpMs: number;
	/** The ID of the target that responded; undefined if the response does not contain one. */
	readonly answeredBy: string | undefined;
};
