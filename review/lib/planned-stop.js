/** The rule LOST around a planned stop, with its bounds and excuses. */

const graceMs = 6000;
/** The stop counts as planned work until one second after the grace period. */
const plannedWorkMs = graceMs + 1000;
/** In the last sixth of the grace period, a server that is still at work excuses the loss of a request that was sent early. */
const lastSixthAtMs = (graceMs * 5) / 6;
const earlySendMs = 3000;

/**
 * Tells whether a request that was passed on to a server, which went on working on it, was lost.
 *
 * @param {{isComplete: boolean, sentAtMs: number, endedAtMs: number}} outcome - The answer; times are those of `performance.now`.
 * @param {{stoppedAtMs: number | undefined, timeLimitMs: number}} bounds - When SIGTERM was sent, if it was, and the lower of time limit and route timeout.
 */
export function isLost(
	{isComplete, sentAtMs, endedAtMs},
	{stoppedAtMs, timeLimitMs},
) {
	if (isComplete || stoppedAtMs === undefined) {
		return false;
	}

	const isTimedOut = endedAtMs - sentAtMs >= timeLimitMs;
	const isPlannedWork =
		endedAtMs >= stoppedAtMs && endedAtMs <= stoppedAtMs + plannedWorkMs;
	const isExcused =
		endedAtMs >= stoppedAtMs + lastSixthAtMs &&
		sentAtMs <= stoppedAtMs + earlySendMs;
	return isPlannedWork && !isTimedOut && !isExcused;
}
