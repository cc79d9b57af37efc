import {makeId, type ServiceName} from '@bilberryscale/core';
import {describe, it} from '@bilberryscale/testing';
import * as assert from 'uvu/assert';
import {
	getPrioritizedServices,
	hasPriorityClasses,
	type PriorityPlan,
} from '../../src/capacity/has-priority-classes.js';
import type {
	ClientAccount,
	ClientAccountName,
} from '../../src/plan/client-account.js';
import {makeRoute, reading} from '../fixtures.js';

const other = makeId<ServiceName>('other');

function makeAccount(priority: number | undefined): ClientAccount {
	const name = makeId<ClientAccountName>(`account-${priority}`);
	return {name, keyDigests: [], priority, ratePerSecond: 0, burst: 0};
}

describe('hasPriorityClasses', () => {
	function doTest(name: string, input: PriorityPlan, expected: boolean): void {
		it(name, () => {
			assert.is(hasPriorityClasses(input, reading), expected);
		});
	}

	doTest(
		'is false if all routes of the service have one priority',
		{routes: [makeRoute(), makeRoute({pathPrefix: '/b/'})]},
		false,
	);
	doTest(
		'is true if two routes of the service differ',
		{routes: [makeRoute(), makeRoute({priority: 2})]},
		true,
	);
	doTest(
		'is false if the differing route belongs to another service',
		{
			routes: [
				makeRoute(),
				makeRoute({
					priority: 2,
					weightedServices: [{service: other, weight: 1}],
				}),
			],
		},
		false,
	);
	doTest(
		'is false if the differing route gives the service no weight',
		{
			routes: [
				makeRoute(),
				makeRoute({
					priority: 2,
					weightedServices: [
						{service: reading, weight: 0},
						{service: other, weight: 1},
					],
				}),
			],
		},
		false,
	);
	doTest(
		'is true if an account has another priority than the route',
		{
			routes: [makeRoute({priority: 1})],
			clientAccounts: [makeAccount(0), makeAccount(undefined)],
		},
		true,
	);
	doTest(
		'is false if all accounts replace the priorities of the routes by one',
		{
			routes: [makeRoute({priority: 1}), makeRoute({priority: 2})],
			clientAccounts: [makeAccount(0)],
		},
		false,
	);
	doTest(
		'ignores accounts on public routes',
		{
			routes: [makeRoute({priority: 1, isPublic: true})],
			clientAccounts: [makeAccount(0), makeAccount(undefined)],
		},
		false,
	);

	it('is false before the first plan', () => {
		assert.not(hasPriorityClasses(undefined, reading));
	});

	it('computes the result once for each plan, as it is asked for each request', () => {
		const plan = {routes: [makeRoute()]};
		assert.is(getPrioritizedServices(plan), getPrioritizedServices(plan));
	});
});
