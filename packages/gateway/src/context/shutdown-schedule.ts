/** Plans the steps of a graceful shutdown. */

/** When the steps are due, on the monotonic clock, in milliseconds. */
export type ShutdownSchedule = {
	/** Connections are closed and no new ones accepted. */
	readonly closesAtMs: number;
	/**
	 * Requests that are read after this time are refused; somewhat later than `closesAtMs`, for those that were pending then.
	 * Those that were read before are sent later only if their deadlines come before open requests are ended.
	 */
	readonly acceptsUntilMs: number;
	/** Requests that are still open get an error response. */
	readonly endsRequestsAtMs: number;
	/** The process exits, even if responses are still being delivered. */
	readonly exitsAtMs: number;
};

/** What a schedule depends on. */
export type ShutdownTimes = {
	/** The earliest time at which the shutdown may have been requested, on the monotonic clock, in milliseconds. */
	readonly earliestRequestMs: number;
	/** How long the process may take from the request on, in milliseconds. */
	readonly shutdownMs: number;
};

/**
 * Time until load balancers have noticed that a host is not ready, in
 * milliseconds: they check every second and drop a host after two failures.
 */
const loadBalancerDetectionMs = 2600;
/** Time for requests that were pending when the host closed, in milliseconds. */
const pendingRequestMs = 200;
/** Time left of the shutdown when open requests are ended, in milliseconds. */
const shutdownReserveMs = 300;
/** Time left of the shutdown when the process exits, in milliseconds. */
const exitReserveMs = 100;

/**
 * Plans a shutdown. The process may have been blocked when the shutdown was
 * requested, and whoever requested it will not wait longer for that.
 *
 * @param times - When the shutdown was requested and how long it may take.
 * @returns When its steps are due.
 */
export function makeShutdownSchedule({
	earliestRequestMs,
	shutdownMs,
}: ShutdownTimes): ShutdownSchedule {
	const availableMs = Math.max(0, shutdownMs - shutdownReserveMs);
	const closesAtMs =
		earliestRequestMs + Math.min(loadBalancerDetectionMs, availableMs);
	const endsRequestsAtMs = earliestRequestMs + availableMs;
	return {
		closesAtMs,
		acceptsUntilMs: closesAtMs + pendingRequestMs,
		endsRequestsAtMs,
		exitsAtMs: Math.max(
			endsRequestsAtMs,
			earliestRequestMs + shutdownMs - exitReserveMs,
		),
	};
}
