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

		doTest('takes a prefix', {host: 'a.example', url: '/a/x'}, 'short');
		doTest('takes the longest', {host: 'a.example', url: '/a/b/x'}, 'long');
		doTest('ignores the port', {host: 'A.example:80', url: '/a/x'}, 'short');
		doTest('keeps hosts apart', {host: 'b.example', url: '/a/x'}, 'other');
		doTest('finds none', {host: 'a.example', url: '/c/'}, undefined);
		doTest('reads no query', {host: 'a.example', url: '/c?/a/'}, undefined);
		doTest('knows no host', {host: 'c.example', url: '/a/'}, undefined);
	});
});
