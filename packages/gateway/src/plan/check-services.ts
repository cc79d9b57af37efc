/** Finds services that are defined twice, that no route uses or that have no targets. */

import type {ServiceName} from '@bilberryscale/core';
import {getRoutesByService} from './plan-entry.js';
import type {PlanFinding} from './plan-finding.js';
import type {RegisteredTarget} from './registered-target.js';
import type {RoutingPlan, ServicePlan} from './routing-plan.js';

/**
 * Finds services that are defined more than once.
 *
 * @param plan - The plan.
 * @returns One finding for each definition after the first.
 */
export function findDuplicateServices({
	services,
}: RoutingPlan): readonly PlanFinding[] {
	const knownNames = new Set<ServiceName>();
	return services
		.filter(({name}) => {
			const isKnown = knownNames.has(name);
			knownNames.add(name);
			return isKnown;
		})
		.map(({name}) => ({
			kind: 'duplicate-service',
			severity: 'error',
			entry: {kind: 'service', name},
			field: 'name',
			value: name,
			allowed: 'a name that no other service has',
		}));
}

/**
 * Finds services that get requests from no route.
 *
 * @param plan - The plan.
 * @returns The findings.
 */
export function findUnusedServices(plan: RoutingPlan): readonly PlanFinding[] {
	const usedNames = getRoutesByService(plan);
	return getDistinctServices(plan)
		.filter(({name}) => !usedNames.has(name))
		.map(({name}) => ({
			kind: 'unused-service',
			severity: 'warning',
			entry: {kind: 'service', name},
			field: 'name',
			value: name,
			allowed: 'a service to which a route gives a weight above 0',
		}));
}

/**
 * Finds services with requests but without a registered target that takes them.
 *
 * @param plan - The plan.
 * @param targets - The registered targets of all services.
 * @returns The findings; a warning each, since targets may still register.
 */
export function findServicesWithoutTargets(
	plan: RoutingPlan,
	targets: readonly RegisteredTarget[],
): readonly PlanFinding[] {
	const usedNames = getRoutesByService(plan);
	const suppliedNames = new Set(
		targets.filter(({isDraining}) => !isDraining).map(({service}) => service),
	);
	return getDistinctServices(plan)
		.filter(({name}) => usedNames.has(name) && !suppliedNames.has(name))
		.map(({name}) => ({
			kind: 'service-without-targets',
			severity: 'warning',
			entry: {kind: 'service', name},
			field: 'name',
			value: name,
			allowed: 'a service with a registered target that is not draining',
		}));
}

function getDistinctServices({services}: RoutingPlan): readonly ServicePlan[] {
	return [
		...new Map(services.map((service) => [service.name, service])).values(),
	];
}
