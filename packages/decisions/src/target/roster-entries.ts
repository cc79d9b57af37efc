/** What a bundle says of the targets of one service. */

import type {
	DataCentre,
	Distance,
	Service,
	Target,
} from '@bilberryscale/bundle';
import type {DataCentreId} from '@bilberryscale/core';

/** The parts of a bundle that the decisions about one service need. */
export type ServicePlan = {
	readonly service: Service;
	readonly dataCentres: readonly DataCentre[];
	readonly distances: readonly Distance[];
};

/** A target and how the bundle and this host stand to it. */
export type RosterEntry = {
	readonly target: Target;
	readonly isInService: boolean;
	readonly roundTripMs: number;
};

/**
 * Gets the targets of a service as a host stands to them.
 *
 * @param plan - What the bundle states.
 * @param own - The data centre of the host.
 * @returns One entry for each target.
 */
export function getRosterEntries(
	plan: ServicePlan,
	own: DataCentreId,
): RosterEntry[] {
	const inService = new Set(
		plan.dataCentres.filter(({state}) => state === 'in').map(({id}) => id),
	);
	return plan.service.targets.map((target) => ({
		target,
		isInService: inService.has(target.dataCentre),
		roundTripMs: getRoundTripMs(plan.distances, own, target.dataCentre),
	}));
}

function getRoundTripMs(
	distances: readonly Distance[],
	from: DataCentreId,
	to: DataCentreId,
): number {
	const distance = distances.find(
		({between}) =>
			from !== to && between.includes(from) && between.includes(to),
	);
	return 2 * (distance?.delayMs ?? 0);
}
