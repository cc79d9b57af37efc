/** Names the parts of a routing plan that findings and differences refer to. */

import type {ServiceName} from '@bilberryscale/core';
import type {ClientAccountName} from './client-account.js';
import type {
	CallerLimits,
	Route,
	RouteName,
	RoutingPlan,
	ServicePlan,
} from './routing-plan.js';

/** The entry of a plan that a finding or a difference refers to; `plan` for the plan as a whole. */
export type PlanEntry =
	| {readonly kind: 'plan'}
	| {
			readonly kind: 'route';
			readonly name: RouteName;
			readonly host: string;
			readonly pathPrefix: string;
	  }
	| {readonly kind: 'service'; readonly name: ServiceName}
	| {readonly kind: 'account'; readonly name: ClientAccountName};

/** A field of an entry, by its name in the decoded plan. */
export type PlanField =
	| 'version'
	| 'clientAccounts'
	| keyof CallerLimits
	| Exclude<keyof Route, 'name'>
	| 'service'
	| 'weight'
	| keyof ServicePlan
	| 'keyDigests'
	| 'ratePerSecond'
	| 'burst';

/** The value of a field, without keys of client accounts. */
export type PlanValue = string | number | boolean;

/** The entry of a plan as a whole. */
export const planEntry: PlanEntry = {kind: 'plan'};

/**
 * Gets the entry of a route.
 *
 * @param route - The route.
 * @returns The entry.
 */
export function getRouteEntry({name, host, pathPrefix}: Route): PlanEntry {
	return {kind: 'route', name, host, pathPrefix};
}

/**
 * Gets a text that is equal for two routes if they match the same requests.
 *
 * @param route - The route.
 * @returns The host in lower case and the path prefix.
 */
export function getMatchId({host, pathPrefix}: Route): string {
	return JSON.stringify([host.toLowerCase(), pathPrefix]);
}

/**
 * Groups the routes of a plan by the services that get their requests.
 *
 * @param plan - The plan.
 * @returns The routes of each service; those that give it a weight of 0 are left out.
 */
export function getRoutesByService({
	routes,
}: Pick<RoutingPlan, 'routes'>): ReadonlyMap<ServiceName, readonly Route[]> {
	const routesByService = new Map<ServiceName, Route[]>();
	for (const route of routes) {
		const names = new Set(
			route.weightedServices
				.filter(({weight}) => weight > 0)
				.map(({service}) => service),
		);
		for (const name of names) {
			const known = routesByService.get(name);
			if (known === undefined) {
				routesByService.set(name, [route]);
			} else {
				known.push(route);
			}
		}
	}

	return routesByService;
}
