/** Checks a routing plan before it is published. */

import {
	findAccountsWithoutKeys,
	findBurstsBelowOne,
	findMissingAccounts,
	findRepeatedKeys,
} from './check-accounts.js';
import {
	findAttemptsBelowOne,
	findAttemptsOverRetryBudget,
	findInvertedPriorities,
	findLatencyTargetsOverTimeout,
	findPrefixesWithoutFinalSlash,
	findShadowedRoutes,
	findUndefinedServices,
	findUnmatchableHosts,
	findUnmatchablePrefixes,
	findZeroWeights,
} from './check-routes.js';
import {
	findDuplicateServices,
	findServicesWithoutTargets,
	findUnusedServices,
} from './check-services.js';
import {planEntry} from './plan-entry.js';
import type {PlanFinding} from './plan-finding.js';
import type {RegisteredTarget} from './registered-target.js';
import type {RoutingPlan} from './routing-plan.js';

/** What a plan is checked against. */
export type PlanCheckContext = {
	/** The retries that the retry budget allows for each request, from 0 to 1. */
	readonly retryRatio: number;
	/** The plan in force; undefined if it is not known. */
	readonly formerPlan?: RoutingPlan;
	/** The registered targets of all services; undefined if they are not known. */
	readonly targets?: readonly RegisteredTarget[];
};

type PlanCheck = (plan: RoutingPlan) => readonly PlanFinding[];

const checks: readonly PlanCheck[] = [
	findShadowedRoutes,
	findUnmatchableHosts,
	findUnmatchablePrefixes,
	findPrefixesWithoutFinalSlash,
	findUndefinedServices,
	findZeroWeights,
	findLatencyTargetsOverTimeout,
	findAttemptsBelowOne,
	findInvertedPriorities,
	findDuplicateServices,
	findUnusedServices,
	findMissingAccounts,
	findBurstsBelowOne,
	findAccountsWithoutKeys,
	findRepeatedKeys,
];

/**
 * Checks a plan.
 *
 * @param plan - The plan.
 * @param context - What it is checked against.
 * @returns The findings, errors before warnings.
 */
export function checkPlan(
	plan: RoutingPlan,
	{retryRatio, formerPlan, targets}: PlanCheckContext,
): readonly PlanFinding[] {
	const findings = [
		...checks.flatMap((check) => check(plan)),
		...findAttemptsOverRetryBudget(plan, retryRatio),
		...(targets === undefined ? [] : findServicesWithoutTargets(plan, targets)),
		...(formerPlan === undefined ? [] : findLowVersion(plan, formerPlan)),
	];
	return [
		...findings.filter(({severity}) => severity === 'error'),
		...findings.filter(({severity}) => severity === 'warning'),
	];
}

/**
 * Finds out whether hosts would ignore a plan because its version is not above the one in force.
 *
 * @param plan - The plan.
 * @param formerPlan - The plan in force.
 * @returns One finding or none.
 */
export function findLowVersion(
	plan: RoutingPlan,
	formerPlan: RoutingPlan,
): readonly PlanFinding[] {
	return plan.version > formerPlan.version
		? []
		: [
				{
					kind: 'version-not-higher',
					severity: 'error',
					entry: planEntry,
					field: 'version',
					value: plan.version,
					allowed: 'a version above the one in force, or hosts ignore it',
				},
			];
}
