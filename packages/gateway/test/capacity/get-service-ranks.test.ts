/** Guards against a change of behaviour for services whose requests all have one priority. */

import {makeId, type Digest} from '@bilberryscale/core';
import {describe, it} from '@bilberryscale/testing';
import * as assert from 'uvu/assert';
import {getServiceRanks} from '../../src/capacity/get-service-ranks.js';
import type {
	ClientAccount,
	ClientAccountName,
} from '../../src/plan/client-account.js';
import type {Route} from '../../src/plan/routing-plan.js';
import {makeRoute, reading} from '../fixtures.js';

function makeAccount(priority: number | undefined): ClientAccount {
	return {
		name: makeId<ClientAccountName>('a'),
		keyDigests: [makeId<Digest>('d')],
		priority,
		ratePerSecond: 0,
		burst: 0,
	};
}

describe('getServiceRanks', () => {
	function doTest(
		name: string,
		routes: ReadonlyArray<Partial<Route>>,
		accountPriorities: ReadonlyArray<number | undefined> | undefined,
		expected: readonly number[] | undefined,
	): void {
		it(name, () => {
			const clientAccounts = accountPriorities?.map((priority) =>
				makeAccount(priority),
			);
			const ranks = getServiceRanks({
				routes: routes.map((changes) => makeRoute(changes)),
				...(clientAccounts && {clientAccounts}),
			});
			assert.equal(ranks.get(reading), expected);
		});
	}

	doTest('gets one rank for one priority', [{}, {}], undefined, [1]);
	doTest(
		'sorts the priorities of routes',
		[{priority: 2}, {priority: 0}],
		undefined,
		[0, 2],
	);
	doTest(
		'ignores a route that sends nothing to the service',
		[{}, {priority: 0, weightedServices: [{service: reading, weight: 0}]}],
		undefined,
		[1],
	);
	doTest('adds the priorities of accounts', [{}], [undefined, 0], [0, 1]);
	doTest('replaces the priority of routes', [{}, {priority: 2}], [0], [0]);
	doTest('leaves that of a public route', [{isPublic: true}], [0], [1]);
	doTest('gets none without routes', [], undefined, undefined);
});
