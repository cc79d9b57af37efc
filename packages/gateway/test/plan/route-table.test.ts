import {makeId} from '@bilberryscale/core';
import {describe, it} from '@bilberryscale/testing';
import * as assert from 'uvu/assert';
import {RouteTable} from '../../src/plan/route-table.js';
import type {RouteName} from '../../src/plan/routing-plan.js';
import {makeRoute} from '../fixtures.js';

const name = (text: string) => makeId<RouteName>(text);
const table = new RouteTable([
	makeRoute({name: name('short'), pathPrefix: '/a/'}),
	makeRoute({name: name('long'), pathPrefix: '/a/b/'}),
	makeRoute({name: name('other'), host: 'b.example', pathPrefix: '/'}),
]);

describe('RouteTable', () => {
	describe('getRoute', () => {
		function doTest(
			title: string,
			input: {readonly host: string; readonly url: string},
			expected: string | undefined,
		): void {
			it(title, () => {
				const route = table.getRoute(input.host, input.url);
				assert.is(route?.name, expected);
			});
		}

		doTest('matches a path prefix', {host: 'a.example', url: '/a/x'}, 'short');
		doTest(
			'prefers the longest prefix',
			{host: 'a.example', url: '/a/b/x'},
			'long',
		);
		doTest(
			'ignores the port and the case of the host',
			{host: 'A.example:80', url: '/a/x'},
			'short',
		);
		doTest(
			'does not mix up the routes of different hosts',
			{host: 'b.example', url: '/a/x'},
			'other',
		);
		doTest(
			'returns undefined if no prefix matches',
			{host: 'a.example', url: '/c/'},
			undefined,
		);
		doTest('ignores the query', {host: 'a.example', url: '/c?/a/'}, undefined);
		doTest(
			'returns undefined for an unknown host',
			{host: 'c.example', url: '/a/'},
			undefined,
		);
	});
});
