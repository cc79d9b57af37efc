import {makeId, type ServiceName} from '@bilberryscale/core';
import {describe, it} from '@bilberryscale/testing';
import * as assert from 'uvu/assert';
import {
	findInvertedPriorities,
	findShadowedRoutes,
	findUnmatchableHosts,
	findUnmatchablePrefixes,
} from '../../src/plan/check-routes.js';
import {RouteTable} from '../../src/plan/route-table.js';
import type {
	PlanVersion,
	Route,
	RouteName,
	RoutingPlan,
} from '../../src/plan/routing-plan.js';

const service = makeId<ServiceName>('s');
const hosts = ['a.example', 'A.example', 'b.example:8080', '*.example'];
const prefixes = ['/', '/a', '/a/', '/a/b/', 'a/', '/a?b/'];

function makePlan(changes: ReadonlyArray<Partial<Route>>): RoutingPlan {
	return {
		version: makeId<PlanVersion>(1),
		routes: changes.map((change, index) => ({
			name: makeId<RouteName>(`r-${index}`),
			host: 'a.example',
			pathPrefix: `/${index}/`,
			isIdempotent: true,
			weightedServices: [{service, weight: 1}],
			timeoutMs: 1000,
			targetLatencyMs: 500,
			maxAttempts: 2,
			priority: 0,
			...change,
		})),
		services: [],
		limits: {
			maxHeaderBytes: 1,
			maxBodyBytes: 1,
			headerTimeoutMs: 1,
			idleTimeoutMs: 1,
		},
	};
}

/** Gets the names of the routes that some request matches, by the lookup that hosts use. */
function getMatchingNames({routes}: RoutingPlan): Set<string> {
	const table = new RouteTable(routes);
	const paths = prefixes
		.filter((prefix) => prefix.startsWith('/'))
		.flatMap((prefix) => [prefix, `${prefix}x`, `${prefix}x?y`]);
	const names = hosts
		.filter((host) => !host.startsWith('*'))
		.flatMap((host) => paths.map((path) => table.getRoute(host, path)?.name));
	return new Set(names.filter((name) => name !== undefined));
}

/** Gets the names of the routes that the checks report as never matching. */
function getUnmatchedNames(plan: RoutingPlan): Set<string> {
	const findings = [
		...findShadowedRoutes(plan),
		...findUnmatchableHosts(plan),
		...findUnmatchablePrefixes(plan),
	];
	return new Set(
		findings.flatMap(({entry}) => (entry.kind === 'route' ? [entry.name] : [])),
	);
}

describe('checkPlan', () => {
	// Guards against a check that no longer agrees with the lookup after one of them changes.
	it('finds exactly the routes that no request matches', () => {
		const matches = hosts.flatMap((host) =>
			prefixes.map((pathPrefix) => ({host, pathPrefix})),
		);
		for (const first of matches) {
			for (const second of matches) {
				const plan = makePlan([first, second]);
				const foundNames = getUnmatchedNames(plan);
				const matchingNames = getMatchingNames(plan);
				for (const {name} of plan.routes) {
					assert.is(
						foundNames.has(name),
						!matchingNames.has(name),
						JSON.stringify([first, second, name]),
					);
				}
			}
		}
	});

	describe('compares latency targets with those of less urgent routes', () => {
		function doTest(
			name: string,
			changes: ReadonlyArray<Partial<Route>>,
			expected: readonly string[],
		): void {
			it(name, () => {
				const found = findInvertedPriorities(makePlan(changes));
				assert.equal(
					found.map(({entry}) => entry.kind === 'route' && entry.name),
					expected,
				);
			});
		}

		doTest(
			'but not of equally urgent ones',
			[{targetLatencyMs: 500}, {targetLatencyMs: 100}],
			[],
		);
		doTest(
			'but not of other services',
			[
				{targetLatencyMs: 500},
				{
					targetLatencyMs: 100,
					priority: 1,
					weightedServices: [{service: makeId<ServiceName>('t'), weight: 1}],
				},
			],
			[],
		);
		doTest(
			'of any lower urgency',
			[
				{targetLatencyMs: 500},
				{targetLatencyMs: 3000, priority: 1},
				{targetLatencyMs: 400, priority: 2},
				{targetLatencyMs: 500, priority: 3},
			],
			['r-0', 'r-1'],
		);
		doTest(
			'and allows equal ones',
			[{targetLatencyMs: 500}, {targetLatencyMs: 500, priority: 1}],
			[],
		);
	});
});
