/** The published state from which a host routes requests. */

import type {DataCentreId, ServiceName, TargetId} from '@bilberryscale/core';
import type {RegisteredTarget} from './registered-target.js';
import type {RoutingPlan} from './routing-plan.js';

/** The routing plan, the targets and the drained data centres, as last read. */
export type RoutingSnapshot = {
	/** Undefined until the first plan was read. */
	readonly plan: RoutingPlan | undefined;
	readonly targets: ReadonlyMap<TargetId, RegisteredTarget>;
	/** The data centres that operators have drained; their targets get no new requests. */
	readonly drainedDataCentres: ReadonlySet<DataCentreId>;
};

/** The snapshot of a host that has read nothing yet. */
export const emptySnapshot: RoutingSnapshot = {
	plan: undefined,
	targets: new Map(),
	drainedDataCentres: new Set(),
};

/**
 * Gets the targets of a service that may get new requests.
 *
 * @param snapshot - The published state.
 * @param service - The service.
 * @returns The targets that are not draining and whose data centre is not drained.
 */
export function getOpenTargets(
	{targets, drainedDataCentres}: RoutingSnapshot,
	service: ServiceName,
): RegisteredTarget[] {
	return [...targets.values()].filter(
		(target) =>
			target.service === service &&
			!target.isDraining &&
			!drainedDataCentres.has(target.dataCentre),
	);
}
