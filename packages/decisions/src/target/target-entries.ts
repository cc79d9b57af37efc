/** The configuration of one service's targets, taken from a bundle. */

import type {
	DataCentre,
	Distance,
	Service,
	Target,
} from '@bilberryscale/bundle';
import type {DataCentreId} from '@bilberryscale/core';

/** The parts of a bundle that are needed to dispatch one service's calls. */
export type ServicePlan = {
	readonly service: Service;
	readonly dataCentres: readonly DataCentre[];
	readonly distances: readonly Distance[];
};

/** A target with its data centre's state and its distance from this host. */
export type TargetEntry = {
	readonly target: Target;
	/** Whether its data centre takes new requests, that is, is not drained. */
	readonly isInService: boolean;
	/** The network round trip between this host and the target. */
	readonly roundTripMs: number;
};

/**
 * Gets the targets of a service with their state and distance from a host.
 *
 * @param plan - The service, the data centres and the distances between them.
 * @param hostDataCentre - The data centre of the host.
 * @returns One entry for each target.
 */
export function getTargetEntries(
	plan: ServicePlan,
	hostDataCentre: DataCentreId,
): TargetEntry[] {
	const inService = new Set(
		plan.dataCentres.filter(({state}) => state === 'in').map(({id}) => id),
	);
	return plan.service.targets.map((target) => ({
		target,
		isInService: inService.has(target.dataCentre),
		roundTripMs: getRoundTripMs(
			plan.distances,
			hostDataCentre,
			target.dataCentre,
		),
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
