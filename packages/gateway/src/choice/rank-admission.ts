/** Decides how many slots of each target requests of a rank leave free for more urgent ones. */

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
	/** The mean number of slots of a target that stay free. */
	readonly slotsPerTarget: number;
};

/** Utilization from which on the least urgent rank leaves slots free. */
const activationUtilization = 0.7;
/** Difference between the thresholds of successive ranks; less urgent ranks yield first. */
const thresholdStep = 0.1;
const maxActivationUtilization = 0.9;
/** Difference between the thresholds at which a reservation begins and ends. */
const hysteresis = 0.15;
/** Share of the targets that keep a slot free beyond the demand, so that an urgent request finds one of them among 12 probed. */
const searchMargin = 0.25;
/** Demand from which on the margin is kept in full, in slots of the whole service; below, urgent requests are rare. */
const fullMarginDemand = 0.1;
/** Slots reserved for each slot of demand, since demand rises faster than it is learnt. */
const demandFactor = 1.3;
/** Maximum share of the slots that stay free. */
const maxReservedShare = 0.1;

/**
 * Decides whether requests of a rank leave slots free, and how many. The most
 * urgent rank has no more urgent demand and leaves none.
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
		utilization >= activation - (wasActive ? hysteresis : 0);
	if (!isActive || targetCount === 0) {
		return {isActive: false, slotsPerTarget: 0};
	}

	const margin = searchMargin * Math.min(1, urgentDemand / fullMarginDemand);
	return {
		isActive: true,
		slotsPerTarget: Math.min(
			maxReservedShare * slotsPerTarget,
			margin + (demandFactor * urgentDemand) / targetCount,
		),
	};
}

/**
 * Gets the slots of one target that stay free. All hosts leave the same targets'
 * slots free, as those that one host leaves would be taken by another.
 *
 * @param slotsPerTarget - The mean number of slots of a target that stay free.
 * @param place - The fixed place of the target among all, from 0 to 1.
 * @returns The number of slots.
 */
export function getReservedSlots(
	slotsPerTarget: number,
	place: number,
): number {
	const whole = Math.floor(slotsPerTarget);
	return whole + (place < slotsPerTarget - whole ? 1 : 0);
}
