import {makeId, makeSeededRandom, type ServiceName} from '@bilberryscale/core';
import {describe, it} from '@bilberryscale/testing';
import * as assert from 'uvu/assert';
import {TrafficSplitter} from '../../src/plan/traffic-splitter.js';
import {makeRoute} from '../fixtures.js';

const large = makeId<ServiceName>('large');
const small = makeId<ServiceName>('small');
const route = makeRoute({
	weightedServices: [
		{service: large, weight: 90},
		{service: small, weight: 10},
	],
});

describe('TrafficSplitter', () => {
	describe('pick', () => {
		it('keeps to the weights over 20 requests on each of 15 hosts', () => {
			let smallCount = 0;
			for (let host = 0; host < 15; host++) {
				const splitter = new TrafficSplitter(makeSeededRandom(host));
				for (let request = 0; request < 20; request++) {
					smallCount += splitter.pick(route) === small ? 1 : 0;
				}
			}

			assert.ok(smallCount >= 24 && smallCount <= 36, String(smallCount));
		});

		it('picks the only service', () => {
			const singleServiceRoute = makeRoute({
				weightedServices: [{service: small, weight: 0}],
			});
			assert.is(new TrafficSplitter(() => 0).pick(singleServiceRoute), small);
		});

		it('throws for a route without services', () => {
			const routeWithoutServices = makeRoute({weightedServices: []});
			assert.throws(
				() => new TrafficSplitter(() => 0).pick(routeWithoutServices),
				/Route "route-1" has no services/v,
			);
		});
	});
});
