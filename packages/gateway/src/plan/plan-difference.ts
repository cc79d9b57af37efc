/** Tells what changes from one routing plan to another. */

import {getPrioritizedServices} from '../capacity/has-priority-classes.js';
import type {ClientAccount} from './client-account.js';
import {
	getMatchId,
	getRouteEntry,
	planEntry,
	type PlanEntry,
	type PlanField,
	type PlanValue,
} from './plan-entry.js';
import type {Route, RoutingPlan, ServicePlan} from './routing-plan.js';

/** One difference between two plans. */
export type PlanDifference =
	| {readonly change: 'added' | 'removed'; readonly entry: PlanEntry}
	| {
			readonly change: 'changed';
			readonly entry: PlanEntry;
			readonly field: PlanField;
			/** The former value; undefined if the field was absent. */
			readonly former: PlanValue | undefined;
			/** The new value; undefined if the field is absent. */
			readonly current: PlanValue | undefined;
			/** More about the change, in words. */
			readonly detail?: string;
	  };

/** A field with its value; undefined if the field is absent. */
type FieldValue = readonly [field: PlanField, value: PlanValue | undefined];

/**
 * Compares two plans.
 *
 * @param former - The plan in force.
 * @param current - The new plan.
 * @returns The differences: of the plan as a whole, then of routes, services and accounts. They contain no keys and no digests.
 */
export function diffPlans(
	former: RoutingPlan,
	current: RoutingPlan,
): readonly PlanDifference[] {
	return [
		...diffFields(planEntry, getPlanValues(former), getPlanValues(current)),
		...diffEntries(
			indexRoutes(former.routes),
			indexRoutes(current.routes),
			getRouteEntry,
			(entry, formerRoute, route) =>
				diffFields(entry, getRouteValues(formerRoute), getRouteValues(route)),
		),
		...diffEntries(
			indexByName(former.services),
			indexByName(current.services),
			({name}) => ({kind: 'service', name}),
			(entry, formerService, service) =>
				diffFields(
					entry,
					getServiceValues(formerService),
					getServiceValues(service),
				),
		),
		...diffPriorityClasses(former, current),
		...diffEntries(
			indexByName(former.clientAccounts ?? []),
			indexByName(current.clientAccounts ?? []),
			({name}) => ({kind: 'account', name}),
			(entry, formerAccount, account) => [
				...diffFields(
					entry,
					getAccountValues(formerAccount),
					getAccountValues(account),
				),
				...diffKeys(entry, formerAccount, account),
			],
		),
	];
}

/** Compares the entries of one kind by their ids. */
function diffEntries<Value>(
	former: ReadonlyMap<string, Value>,
	current: ReadonlyMap<string, Value>,
	getEntry: (value: Value) => PlanEntry,
	diffValues: (
		entry: PlanEntry,
		former: Value,
		current: Value,
	) => readonly PlanDifference[],
): readonly PlanDifference[] {
	const removed = [...former]
		.filter(([id]) => !current.has(id))
		.map(([, value]) => ({
			change: 'removed' as const,
			entry: getEntry(value),
		}));
	const others = [...current].flatMap(([id, value]) => {
		const entry = getEntry(value);
		const formerValue = former.get(id);
		return formerValue === undefined
			? [{change: 'added' as const, entry}]
			: diffValues(entry, formerValue, value);
	});
	return [...removed, ...others];
}

function diffFields(
	entry: PlanEntry,
	former: readonly FieldValue[],
	current: readonly FieldValue[],
): readonly PlanDifference[] {
	const formerValues = new Map(former);
	return current
		.filter(([field, value]) => formerValues.get(field) !== value)
		.map(([field, value]) => ({
			change: 'changed',
			entry,
			field,
			former: formerValues.get(field),
			current: value,
		}));
}

/** Compares the keys of an account and states only their numbers. */
function diffKeys(
	entry: PlanEntry,
	former: ClientAccount,
	current: ClientAccount,
): readonly PlanDifference[] {
	const formerDigests = new Set(former.keyDigests);
	const digests = new Set(current.keyDigests);
	const gained = [...digests].filter(
		(digest) => !formerDigests.has(digest),
	).length;
	const lost = [...formerDigests].filter(
		(digest) => !digests.has(digest),
	).length;
	return gained + lost === 0
		? []
		: [
				{
					change: 'changed',
					entry,
					field: 'keyDigests',
					former: formerDigests.size,
					current: digests.size,
					detail: `${gained} gained, ${lost} lost`,
				},
			];
}

/** Finds the services for which the plans differ in whether requests are ordered by priority. */
function diffPriorityClasses(
	former: RoutingPlan,
	current: RoutingPlan,
): readonly PlanDifference[] {
	const formerNames = getPrioritizedServices(former);
	const names = getPrioritizedServices(current);
	return [...new Set([...formerNames, ...names])]
		.filter((name) => formerNames.has(name) !== names.has(name))
		.map((name) => ({
			change: 'changed',
			entry: {kind: 'service', name},
			field: 'priority',
			former: formerNames.has(name) ? 'several' : 'one',
			current: names.has(name) ? 'several' : 'one',
			detail: names.has(name)
				? 'requests of different priorities compete for the service and are served by priority'
				: 'requests are served without regard to priority',
		}));
}

/** Indexes routes by what they match; of several that match the same, the first is in effect. */
function indexRoutes(routes: readonly Route[]): ReadonlyMap<string, Route> {
	const routesById = new Map<string, Route>();
	for (const route of routes) {
		const id = getMatchId(route);
		if (!routesById.has(id)) {
			routesById.set(id, route);
		}
	}

	return routesById;
}

function indexByName<Value extends {readonly name: string}>(
	values: readonly Value[],
): ReadonlyMap<string, Value> {
	return new Map(values.map((value) => [value.name, value]));
}

function getPlanValues({
	version,
	limits,
	clientAccounts,
}: RoutingPlan): readonly FieldValue[] {
	return [
		['version', version],
		['maxHeaderBytes', limits.maxHeaderBytes],
		['maxBodyBytes', limits.maxBodyBytes],
		['headerTimeoutMs', limits.headerTimeoutMs],
		['idleTimeoutMs', limits.idleTimeoutMs],
		[
			'clientAccounts',
			clientAccounts === undefined ? 'no keys needed' : 'keys needed',
		],
	];
}

function getRouteValues(route: Route): readonly FieldValue[] {
	return [
		['name', route.name],
		['isIdempotent', route.isIdempotent],
		[
			'weightedServices',
			route.weightedServices
				.map(({service, weight}) => `${service} ${weight}`)
				.join(', '),
		],
		['timeoutMs', route.timeoutMs],
		['targetLatencyMs', route.targetLatencyMs],
		['maxAttempts', route.maxAttempts],
		['priority', route.priority],
		['isPublic', route.isPublic ?? false],
	];
}

function getServiceValues(service: ServicePlan): readonly FieldValue[] {
	return [
		['healthPath', service.healthPath],
		['maxConnections', service.maxConnections],
		['maxWarmUpRequestsPerSecond', service.maxWarmUpRequestsPerSecond],
	];
}

function getAccountValues(account: ClientAccount): readonly FieldValue[] {
	return [
		['priority', account.priority],
		['ratePerSecond', account.ratePerSecond],
		['burst', account.burst],
	];
}
