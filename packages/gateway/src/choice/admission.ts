/** Decides whether a request is sent to the best target available now, waits for a better one or is refused. */

/** A pending request and the best target that is available to it. */
export type AdmissionContext = {
	/** Time since the request arrived at this host, in milliseconds. */
	readonly ageMs: number;
	/** Time left until the deadline, in milliseconds. */
	readonly remainingMs: number;
	/** The latency target of the route, in milliseconds. */
	readonly targetLatencyMs: number;
	/** The typical service time of such requests, in milliseconds. */
	readonly serviceTimeMs: number;
	/** The expected latency at the best target, in milliseconds; infinite if there is none. */
	readonly bestLatencyMs: number;
	/** Time until the targets are checked again, in milliseconds; 40 if undefined. */
	readonly recheckMs?: number;
	/** Whether others wait for any free slot, so that none is left for a better one. */
	readonly isShort?: boolean;
	/** Whether that target would start the request without queueing it. */
	readonly hasFreeSlot: boolean;
};

/** Send the request now, check the targets again later or refuse the request. */
export type AdmissionDecision = 'take' | 'wait' | 'refuse';

/** Multiple of the typical service time within which a target counts as near optimal. */
const nearOptimalFactor = 1.15;
/** Excess over a near-optimal latency that does not justify waiting for a better target, in milliseconds. */
const toleratedExcessMs = 70;
/** Safety margin, as a share of the latency target. */
const latencyMargin = 0.1;
/** Usual time until the targets are checked again, in milliseconds. */
const recheckIntervalMs = 40;

/**
 * Decides whether to send a request to the best available target.
 *
 * Takes a near-optimal target at once, and in a shortage any free slot that is
 * on time. Otherwise waits if the best target would still be on time after the
 * next check, or if it is too slow now but a near-optimal one could be on time
 * after the next check. If it would miss the latency target, it is taken only if
 * it has a free slot and meets the deadline.
 *
 * @param context - The request and its best target.
 * @returns Whether to take the target, wait or refuse the request.
 */
export function decideAdmission(context: AdmissionContext): AdmissionDecision {
	const {
		ageMs,
		remainingMs,
		targetLatencyMs,
		serviceTimeMs,
		bestLatencyMs,
		hasFreeSlot,
		recheckMs = recheckIntervalMs,
		isShort = false,
	} = context;
	if (remainingMs <= 0) {
		return 'refuse';
	}

	if (bestLatencyMs <= serviceTimeMs * nearOptimalFactor + toleratedExcessMs) {
		return 'take';
	}

	const latencyBudgetMs = getLatencyBudgetMs(targetLatencyMs);
	const isOnTimeNow = ageMs + bestLatencyMs <= latencyBudgetMs;
	if (isShort && isOnTimeNow && hasFreeSlot) {
		return 'take';
	}

	const isOnTimeAfterRecheck =
		ageMs + recheckMs + bestLatencyMs <= latencyBudgetMs;
	const isNearOptimalOnTimeAfterRecheck =
		ageMs + recheckMs + getNearOptimalLatencyMs(serviceTimeMs) <=
		latencyBudgetMs;
	if (
		isOnTimeAfterRecheck ||
		(!isOnTimeNow && isNearOptimalOnTimeAfterRecheck)
	) {
		return 'wait';
	}

	if (isOnTimeNow) {
		return 'take';
	}

	return hasFreeSlot && bestLatencyMs <= remainingMs ? 'take' : 'refuse';
}

/**
 * Gets when a request must start at a near-optimal target to be on time.
 *
 * @param request - When it arrived, its latency target and its typical service time, in milliseconds.
 * @returns The latest useful time, on the monotonic clock, in milliseconds.
 */
export function getLatestStartMs({
	receivedAtMs,
	targetLatencyMs,
	serviceTimeMs,
}: {
	readonly receivedAtMs: number;
	readonly targetLatencyMs: number;
	readonly serviceTimeMs: number;
}): number {
	return (
		receivedAtMs +
		getLatencyBudgetMs(targetLatencyMs) -
		getNearOptimalLatencyMs(serviceTimeMs)
	);
}

/** Gets the time within which a request is planned to be answered: the latency target without the safety margin. */
function getLatencyBudgetMs(targetLatencyMs: number): number {
	return targetLatencyMs * (1 - latencyMargin);
}

/** Gets the longest latency that counts as near optimal. */
function getNearOptimalLatencyMs(serviceTimeMs: number): number {
	return serviceTimeMs * nearOptimalFactor;
}
