/** Finds routes that never match, that lead nowhere or whose limits contradict each other. */

import type {ServiceName} from '@bilberryscale/core';
import {getMatchId, getRouteEntry, getRoutesByService} from './plan-entry.js';
import type {PlanFinding} from './plan-finding.js';
import type {Route, RoutingPlan} from './routing-plan.js';

/** Characters that the host name of a request can't contain; routes have no wildcards. */
const unmatchableHostPattern = /[\s\/*?#]/v;
/** The path is compared without its query, and fragments are never sent. */
const unmatchablePrefixPattern = /[\s?#]/v;

/**
 * Finds routes that another route with the same host and prefix precedes.
 *
 * @param plan - The plan.
 * @returns The findings.
 */
export function findShadowedRoutes({
	routes,
}: RoutingPlan): readonly PlanFinding[] {
	const firstRoutes = new Map<string, Route>();
	return routes.flatMap((route) => {
		const id = getMatchId(route);
		const first = firstRoutes.get(id);
		if (first === undefined) {
			firstRoutes.set(id, route);
			return [];
		}

		return [
			{
				kind: 'shadowed-route',
				severity: 'error',
				entry: getRouteEntry(route),
				field: 'pathPrefix',
				value: route.pathPrefix,
				allowed: `a prefix that route ${first.name} of this host does not have`,
			} as const,
		];
	});
}

/**
 * Finds routes whose host name no request can have.
 *
 * @param plan - The plan.
 * @returns The findings.
 */
export function findUnmatchableHosts({
	routes,
}: RoutingPlan): readonly PlanFinding[] {
	return routes
		.filter(({host}) => unmatchableHostPattern.test(host))
		.map((route) => ({
			kind: 'unmatchable-host',
			severity: 'error',
			entry: getRouteEntry(route),
			field: 'host',
			value: route.host,
			allowed: 'a host name, with or without a port; no wildcards',
		}));
}

/**
 * Finds routes whose prefix no path can start with.
 *
 * @param plan - The plan.
 * @returns The findings.
 */
export function findUnmatchablePrefixes({
	routes,
}: RoutingPlan): readonly PlanFinding[] {
	return routes
		.filter(
			({pathPrefix}) =>
				!pathPrefix.startsWith('/') ||
				unmatchablePrefixPattern.test(pathPrefix),
		)
		.map((route) => ({
			kind: 'unmatchable-prefix',
			severity: 'error',
			entry: getRouteEntry(route),
			field: 'pathPrefix',
			value: route.pathPrefix,
			allowed: 'a path that starts with a slash, without query or spaces',
		}));
}

/**
 * Finds prefixes that also match longer names of their last segment, such as `/ab` for `/a`.
 *
 * @param plan - The plan.
 * @returns The findings.
 */
export function findPrefixesWithoutFinalSlash({
	routes,
}: RoutingPlan): readonly PlanFinding[] {
	return routes
		.filter(({pathPrefix}) => !pathPrefix.endsWith('/'))
		.map((route) => ({
			kind: 'prefix-without-final-slash',
			severity: 'warning',
			entry: getRouteEntry(route),
			field: 'pathPrefix',
			value: route.pathPrefix,
			allowed: 'a path that ends with a slash',
		}));
}

/**
 * Finds routes to services that the plan does not define.
 *
 * @param plan - The plan.
 * @returns One finding for each route and service.
 */
export function findUndefinedServices({
	routes,
	services,
}: RoutingPlan): readonly PlanFinding[] {
	const definedNames = new Set(services.map(({name}) => name));
	return routes.flatMap((route) =>
		getServiceNames(route)
			.filter((name) => !definedNames.has(name))
			.map((name) => ({
				kind: 'undefined-service',
				severity: 'error',
				entry: getRouteEntry(route),
				field: 'service',
				value: name,
				allowed: 'the name of a service that is defined',
			})),
	);
}

/**
 * Finds routes without a service that has a weight.
 *
 * @param plan - The plan.
 * @returns The findings.
 */
export function findZeroWeights({routes}: RoutingPlan): readonly PlanFinding[] {
	return routes
		.filter(({weightedServices}) =>
			weightedServices.every(({weight}) => weight === 0),
		)
		.map((route) => ({
			kind: 'zero-weights',
			severity: 'error',
			entry: getRouteEntry(route),
			field: 'weight',
			value: 0,
			allowed: 'at least one service with a weight above 0',
		}));
}

/**
 * Finds routes whose requests time out before their latency target.
 *
 * @param plan - The plan.
 * @returns The findings.
 */
export function findLatencyTargetsOverTimeout({
	routes,
}: RoutingPlan): readonly PlanFinding[] {
	return routes
		.filter(({targetLatencyMs, timeoutMs}) => targetLatencyMs > timeoutMs)
		.map((route) => ({
			kind: 'latency-target-over-timeout',
			severity: 'error',
			entry: getRouteEntry(route),
			field: 'targetLatencyMs',
			value: route.targetLatencyMs,
			allowed: `at most the timeout of the route, ${route.timeoutMs} ms`,
		}));
}

/**
 * Finds routes whose requests may not be sent even once.
 *
 * @param plan - The plan.
 * @returns The findings.
 */
export function findAttemptsBelowOne({
	routes,
}: RoutingPlan): readonly PlanFinding[] {
	return routes
		.filter(({maxAttempts}) => maxAttempts < 1)
		.map((route) => ({
			kind: 'attempts-below-one',
			severity: 'error',
			entry: getRouteEntry(route),
			field: 'maxAttempts',
			value: route.maxAttempts,
			allowed: 'at least 1',
		}));
}

/**
 * Finds routes with retries where the retry budget grows with no request. With
 * any ratio above 0, the budget of a busy host allows all attempts of some
 * requests, so nothing is found then.
 *
 * @param plan - The plan.
 * @param retryRatio - The retries that the budget allows for each request, from 0 to 1.
 * @returns The findings.
 */
export function findAttemptsOverRetryBudget(
	{routes}: RoutingPlan,
	retryRatio: number,
): readonly PlanFinding[] {
	return routes
		.filter(({maxAttempts}) => retryRatio === 0 && maxAttempts > 1)
		.map((route) => ({
			kind: 'attempts-over-retry-budget',
			severity: 'warning',
			entry: getRouteEntry(route),
			field: 'maxAttempts',
			value: route.maxAttempts,
			allowed: '1, as the retry ratio is 0',
		}));
}

/**
 * Finds routes with a longer latency target than a less urgent route of the same service.
 *
 * @param plan - The plan.
 * @returns One finding for each route and service.
 */
export function findInvertedPriorities(
	plan: RoutingPlan,
): readonly PlanFinding[] {
	return [...getRoutesByService(plan)].flatMap(([service, routes]) => {
		const strictest = getStrictestRoutes(routes);
		return routes.flatMap((route) => {
			const other = strictest.findLast(
				({priority}) => priority > route.priority,
			);
			return other === undefined ||
				other.targetLatencyMs >= route.targetLatencyMs
				? []
				: [
						{
							kind: 'inverted-priority',
							severity: 'warning',
							entry: getRouteEntry(route),
							field: 'targetLatencyMs',
							value: route.targetLatencyMs,
							allowed: `at most ${other.targetLatencyMs} ms, as route ${other.name} of service ${service} has this with priority ${other.priority}, which is less urgent than ${route.priority}`,
						} as const,
					];
		});
	});
}

/** Gets, for each priority from the least urgent on, the route with the shortest latency target of this and all less urgent priorities. */
function getStrictestRoutes(routes: readonly Route[]): readonly Route[] {
	const strictest: Route[] = [];
	for (const route of routes.toSorted((a, b) => b.priority - a.priority)) {
		const last = strictest.at(-1);
		const isStrictest =
			last === undefined || route.targetLatencyMs < last.targetLatencyMs;
		if (isStrictest) {
			strictest.push(route);
		}
	}

	return strictest;
}

function getServiceNames({weightedServices}: Route): readonly ServiceName[] {
	return [...new Set(weightedServices.map(({service}) => service))];
}
