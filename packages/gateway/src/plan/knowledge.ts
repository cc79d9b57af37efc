/** What a host knows of the fleet around it. */

import type {DataCentreId, ServiceName, TargetId} from '@bilberryscale/core';
import type {ListedTarget} from './listed-target.js';
import type {RoutingPlan} from './routing-plan.js';

/** Everything published that decisions depend on. */
export type Knowledge = {
	/** Undefined until the first plan is known. */
	readonly plan: RoutingPlan | undefined;
	readonly targets: ReadonlyMap<TargetId, ListedTarget>;
	/** The data centres that operators have taken out. */
	readonly emptied: ReadonlySet<DataCentreId>;
};

/** What a host knows at its start. */
export const noKnowledge: Knowledge = {
	plan: undefined,
	targets: new Map(),
	emptied: new Set(),
};

/**
 * Gets the targets of a service that may get new requests.
 *
 * @param knowledge - What is known.
 * @param service - The service.
 * @returns The targets that neither leave nor stand in an emptied data centre.
 */
export function getOpenTargets(
	{targets, emptied}: Knowledge,
	service: ServiceName,
): ListedTarget[] {
	return [...targets.values()].filter(
		(target) =>
			target.service === service &&
			!target.isDraining &&
			!emptied.has(target.dataCentre),
	);
}
