/** Decides which slots requests of a rank leave free for more urgent ones. */

/** A service as the requests of one rank see it. */
export type RankContext = {
	/** The share of the service's slots in use, from 0 to 1. */
	readonly utilization: number;
	/** The number of less urgent ranks of the service. */
	readonly lessUrgentCount: number;
	/** The mean number of slots that more urgent requests of all hosts keep busy. */
	readonly urgentDemand: number;
	readonly targetCount: number;
	/** The mean number of slots of a target. */
	readonly slotsPerTarget: number;
	/** Whether requests of the rank have left slots free up to now. */
	readonly wasActive: boolean;
};

/** What requests of a rank leave free. */
export type RankReservation = {
	/** Whether the utilization calls for it. */
	readonly isActive: boolean;
	/** The share of the targets that keep {@link getReservedDepth} slots free, from 0 to 1. */
	readonly targetShare: number;
};

/** Utilization from which on the least urgent rank leaves slots free. */
const activationUtilization = 0.7;
/** Difference between the thresholds of successive ranks; less urgent ranks yield first. */
const thresholdStep = 0.1;
const maxActivationUtilization = 0.9;
/** Difference between the thresholds at which a reservation begins and ends. */
const hysteresis = 0.15;
/** Share of the targets that keep slots free beyond the demand, so that an urgent request finds one of them among 12 probed. */
const searchMargin = 0.25;
/** Maximum share of the slots that the margin leaves free. */
const maxMarginSlotShare = 0.1;
/** Demand from which on the margin is kept in full, in slots of the whole service; below, urgent requests are rare. */
const fullMarginDemand = 0.1;
/** Share of a target's slots that stay free there: work on the last slots takes up to 1.7 times as long, and two hosts may take one slot at once. */
const reservedDepthShare = 1 / 3;

/**
 * Decides whether requests of a rank leave slots free, and at how many targets:
 * the demand of more urgent requests plus a margin. The most urgent rank has no
 * more urgent demand and leaves none.
 *
 * @param context - The service as the rank sees it.
 * @returns The reservation.
 */
export function decideReservation(context: RankContext): RankReservation {
	const {utilization, lessUrgentCount, urgentDemand, wasActive} = context;
	const {targetCount, slotsPerTarget} = context;
	const activation = Math.min(
		maxActivationUtilization,
		activationUtilization + thresholdStep * lessUrgentCount,
	);
	const isActive =
		urgentDemand > 0 &&
		targetCount > 0 &&
		utilization >= activation - (wasActive ? hysteresis : 0);
	if (!isActive) {
		return {isActive, targetShare: 0};
	}

	const depth = getReservedDepth(slotsPerTarget);
	const margin =
		Math.min(searchMargin, (maxMarginSlotShare * slotsPerTarget) / depth) *
		Math.min(1, urgentDemand / fullMarginDemand);
	const demandShare = urgentDemand / (depth * targetCount);
	return {isActive, targetShare: Math.min(1, margin + demandShare)};
}

/**
 * Gets the number of slots that stay free at a target with a reservation. A few
 * targets keep several slots free rather than each a single one.
 *
 * @param slots - The number of slots of the target.
 * @returns The number of slots that stay free.
 */
export function getReservedDepth(slots: number): number {
	return Math.max(1, Math.round(slots * reservedDepthShare));
}
