/** Finds the priorities that requests to each service may have. */

import type {ServiceName} from '@bilberryscale/core';
import type {RoutingPlan} from '../plan/routing-plan.js';

/**
 * Gets the ranks of each service: the priorities of the routes that lead to it,
 * or of the client accounts that replace them.
 *
 * @param plan - The routing plan.
 * @returns The ranks by service in ascending order, the most urgent first.
 */
export function getServiceRanks({
	routes,
	clientAccounts,
}: Pick<RoutingPlan, 'routes' | 'clientAccounts'>): ReadonlyMap<
	ServiceName,
	readonly number[]
> {
	const ranks = new Map<ServiceName, Set<number>>();
	const accountPriorities = [
		...new Set(clientAccounts?.map(({priority}) => priority)),
	];
	for (const {weightedServices, priority, isPublic} of routes) {
		const priorities =
			isPublic === true || accountPriorities.length === 0
				? [priority]
				: accountPriorities.map(
						(accountPriority) => accountPriority ?? priority,
					);
		for (const {service} of weightedServices.filter(({weight}) => weight > 0)) {
			const known = ranks.get(service) ?? new Set();
			ranks.set(service, new Set([...known, ...priorities]));
		}
	}

	return new Map(
		[...ranks].map(([service, priorities]) => [
			service,
			[...priorities].toSorted((a, b) => a - b),
		]),
	);
}
