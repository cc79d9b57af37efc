/** Decides whether a request takes the best target of now or waits for a better one. */

/** A request that looks for a target. */
export type AcceptanceView = {
	/** How long the request has been here, in milliseconds. */
	readonly ageMs: number;
	/** How long it may still take in all, in milliseconds. */
	readonly leftMs: number;
	/** The latency that its caller hopes for, in milliseconds. */
	readonly targetLatencyMs: number;
	/** How long such work usually takes, in milliseconds. */
	readonly workMs: number;
	/** How long the best target of now would take, in milliseconds. */
	readonly bestMs: number;
	/** Whether the work would begin at once there. */
	readonly hasFreeSlot: boolean;
};

/** What to do. */
export type Acceptance = 'take' | 'wait' | 'refuse';

/** Work that takes so many times the usual time is as good as can be hoped for. */
const goodFactor = 1.15;
/** A better target is worth a wait of this time, in milliseconds. */
const worthwhileWaitMs = 70;
/** Part of the hoped-for latency that must not be planned away. */
const latencyReserve = 0.1;
/** Until the next look at targets, in milliseconds. */
const lookMs = 40;

/**
 * Decides what a request does about the best target of now.
 *
 * @param view - The request and its best target.
 * @returns Whether to take it, to look again later or to give up.
 */
export function decideAcceptance(view: AcceptanceView): Acceptance {
	const {ageMs, leftMs, targetLatencyMs, workMs, bestMs, hasFreeSlot} = view;
	if (leftMs <= 0) {
		return 'refuse';
	}

	if (bestMs <= workMs * goodFactor + worthwhileWaitMs) {
		return 'take';
	}

	const plannedMs = targetLatencyMs * (1 - latencyReserve);
	const isInTimeLater = ageMs + lookMs + bestMs <= plannedMs;
	const mayStillBeInTime = ageMs + lookMs + workMs * goodFactor <= plannedMs;
	const isInTimeNow = ageMs + bestMs <= plannedMs;
	if (isInTimeLater || (!isInTimeNow && mayStillBeInTime)) {
		return 'wait';
	}

	if (isInTimeNow) {
		return 'take';
	}

	return hasFreeSlot && bestMs <= leftMs ? 'take' : 'refuse';
}
