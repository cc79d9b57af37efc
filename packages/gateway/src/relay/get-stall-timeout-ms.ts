/** Decides how long a request waits for a target that has stopped working on it. */

/** An attempt of an idempotent request, and what is left for another one. */
export type StallContext = {
	/** The expected latency at the target, in milliseconds. */
	readonly expectedMs: number;
	/** The typical service time of such requests, in milliseconds. */
	readonly serviceTimeMs: number;
	/** The time left until the deadline at the start of the attempt, in milliseconds. */
	readonly remainingMs: number;
};

/** Multiple of the expected latency that a response of a working target rarely takes. */
const expectedLatencyFactor = 2.5;
/** Added to that multiple, in milliseconds. */
const toleratedDelayMs = 100;

/**
 * Gets after which time without a response a request is sent to another target.
 * Targets may drop a request without any response while they answer probes, so
 * that they don't look silent.
 *
 * @param context - The attempt.
 * @returns The time in milliseconds; undefined if another attempt could not complete afterwards.
 */
export function getStallTimeoutMs({
	expectedMs,
	serviceTimeMs,
	remainingMs,
}: StallContext): number | undefined {
	const timeoutMs =
		Math.max(expectedMs, serviceTimeMs) * expectedLatencyFactor +
		toleratedDelayMs;
	return timeoutMs + serviceTimeMs * 2 <= remainingMs ? timeoutMs : undefined;
}
