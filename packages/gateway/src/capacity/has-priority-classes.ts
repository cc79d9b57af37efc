/** Tells for which services requests of different priorities compete. */

import type {ServiceName} from '@bilberryscale/core';
import type {RoutingPlan} from '../plan/routing-plan.js';
import {getServiceRanks} from './get-service-ranks.js';

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

	const services = new Set(
		[...getServiceRanks(plan)]
			.filter(([, {length}]) => length > 1)
			.map(([name]) => name),
	);
	indices.set(plan, services);
	return services;
}
