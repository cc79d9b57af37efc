import {makeId, makeSeededRandom, type ServiceName} from '@bilberryscale/core';
import {describe, it} from '@bilberryscale/testing';
import * as assert from 'uvu/assert';
import {SplitPicker} from '../../src/plan/split-picker.js';
import {makeRoute} from '../fixtures.js';

const large = makeId<ServiceName>('large');
const small = makeId<ServiceName>('small');
const route = makeRoute({
	parts: [
		{service: large, weight: 90},
		{service: small, weight: 10},
	],
});

describe('SplitPicker', () => {
	describe('pick', () => {
		it('keeps the weights over the few requests of each of 15 hosts', () => {
			let smallCount = 0;
			for (let host = 0; host < 15; host++) {
				const picker = new SplitPicker(makeSeededRandom(host));
				for (let request = 0; request < 20; request++) {
					smallCount += picker.pick(route) === small ? 1 : 0;
				}
			}

			assert.ok(smallCount >= 24 && smallCount <= 36, String(smallCount));
		});

		it('takes the only part', () => {
			const only = makeRoute({parts: [{service: small, weight: 0}]});
			assert.is(new SplitPicker(() => 0).pick(only), small);
		});

		it('refuses a route without parts', () => {
			const none = makeRoute({parts: []});
			assert.throws(() => new SplitPicker(() => 0).pick(none), /has no parts/v);
		});
	});
});
