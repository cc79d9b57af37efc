/** Finds client accounts whose keys or rate limits can't be what was meant. */

import {planEntry} from './plan-entry.js';
import type {PlanFinding} from './plan-finding.js';
import type {RoutingPlan} from './routing-plan.js';

/** A request takes one token, so hosts raise the capacity of a smaller bucket to this. */
const minBurst = 1;

/**
 * Finds out whether requests need a key that no account holds, since the list of accounts is empty.
 *
 * @param plan - The plan.
 * @returns One finding or none.
 */
export function findMissingAccounts({
	clientAccounts,
	routes,
}: RoutingPlan): readonly PlanFinding[] {
	return clientAccounts?.length === 0 &&
		routes.some(({isPublic}) => isPublic !== true)
		? [
				{
					kind: 'no-accounts',
					severity: 'error',
					entry: planEntry,
					field: 'clientAccounts',
					value: 0,
					allowed:
						'at least one account, or no list of accounts if requests need no key',
				},
			]
		: [];
}

/**
 * Finds rate limits whose burst is below one request.
 *
 * @param plan - The plan.
 * @returns The findings.
 */
export function findBurstsBelowOne({
	clientAccounts = [],
}: RoutingPlan): readonly PlanFinding[] {
	return clientAccounts
		.filter(({ratePerSecond, burst}) => ratePerSecond > 0 && burst < minBurst)
		.map(({name, burst}) => ({
			kind: 'burst-below-one',
			severity: 'warning',
			entry: {kind: 'account', name},
			field: 'burst',
			value: burst,
			allowed: `at least ${minBurst} request, which hosts use instead`,
		}));
}

/**
 * Finds accounts that no request can use.
 *
 * @param plan - The plan.
 * @returns The findings.
 */
export function findAccountsWithoutKeys({
	clientAccounts = [],
}: RoutingPlan): readonly PlanFinding[] {
	return clientAccounts
		.filter(({keyDigests}) => keyDigests.length === 0)
		.map(({name}) => ({
			kind: 'account-without-keys',
			severity: 'warning',
			entry: {kind: 'account', name},
			field: 'keyDigests',
			value: 0,
			allowed: 'at least one key',
		}));
}

/**
 * Finds accounts that list one of their keys more than once.
 *
 * @param plan - The plan.
 * @returns The findings, which state the number of repetitions and no key.
 */
export function findRepeatedKeys({
	clientAccounts = [],
}: RoutingPlan): readonly PlanFinding[] {
	return clientAccounts.flatMap(({name, keyDigests}) => {
		const repetitions = keyDigests.length - new Set(keyDigests).size;
		return repetitions === 0
			? []
			: [
					{
						kind: 'repeated-key',
						severity: 'warning',
						entry: {kind: 'account', name},
						field: 'keyDigests',
						value: `${repetitions} of ${keyDigests.length} repeated`,
						allowed: 'each key once',
					} as const,
				];
	});
}
