/** Tells for which services requests of different priorities compete. */

import type {ServiceName} from '@bilberryscale/core';
import type {Route, RoutingPlan} from '../plan/routing-plan.js';

/** The part of a plan that decides on priorities. */
export type PriorityPlan = Pick<RoutingPlan, 'routes' | 'clientAccounts'>;

/** The result for each plan, since a plan may hold thousands of accounts. */
const indices = new WeakMap<PriorityPlan, ReadonlySet<ServiceName>>();

/**
 * Checks whether requests of different priorities compete for a service, so
 * that waiting and refused requests are ordered by priority.
 *
 * @param plan - The plan in force; undefined before the first one.
 * @param service - The service.
 * @returns Whether its routes, or the accounts that may use them, have different priorities.
 */
export function hasPriorityClasses(
	plan: PriorityPlan | undefined,
	service: ServiceName,
): boolean {
	return plan !== undefined && getPrioritizedServices(plan).has(service);
}

/**
 * Gets the services for which requests of different priorities compete; the
 * result is computed once for each plan object.
 *
 * @param plan - The plan.
 * @returns The services.
 */
export function getPrioritizedServices(
	plan: PriorityPlan,
): ReadonlySet<ServiceName> {
	const existing = indices.get(plan);
	if (existing !== undefined) {
		return existing;
	}

	const accountPriorities = new Set(
		plan.clientAccounts?.map(({priority}) => priority),
	);
	const priorities = new Map<ServiceName, Set<number>>();
	for (const route of plan.routes) {
		for (const {service, weight} of route.weightedServices) {
			if (weight > 0) {
				const known = priorities.get(service) ?? new Set();
				priorities.set(
					service,
					new Set([...known, ...getPriorities(route, accountPriorities)]),
				);
			}
		}
	}

	const services = new Set(
		[...priorities].filter(([, {size}]) => size > 1).map(([name]) => name),
	);
	indices.set(plan, services);
	return services;
}

/** Gets the priorities that requests of a route can have. */
function getPriorities(
	{priority, isPublic}: Route,
	accountPriorities: ReadonlySet<number | undefined>,
): Set<number> {
	return accountPriorities.size === 0 || isPublic === true
		? new Set([priority])
		: new Set([...accountPriorities].map((own) => own ?? priority));
}
