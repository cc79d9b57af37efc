import {ManualClock} from '@bilberryscale/core';
import {describe, it} from '@bilberryscale/testing';
import * as assert from 'uvu/assert';
import {
	firstPlanWaitMs,
	PlanHolder,
	type PlanInForce,
} from '../../src/plan/plan-holder.js';
import {RouteTable} from '../../src/plan/route-table.js';

const plan: PlanInForce = {
	version: 7,
	table: new RouteTable([]),
	limits: {
		headerBytes: 1,
		bodyBytes: 1,
		headerTimeoutMs: 1,
		idleTimeoutMs: 1,
	},
};

type Waiting = {
	readonly holder: PlanHolder;
	readonly clock: ManualClock;
};

describe('PlanHolder', () => {
	describe('waitForPlan, for the requests that come just after a start', () => {
		function doTest(
			name: string,
			act: (waiting: Waiting) => void,
			expected: number | 'none' | 'waits',
		): void {
			it(name, async () => {
				const clock = new ManualClock();
				const holder = new PlanHolder(clock);
				let result: number | 'none' | 'waits' = 'waits';
				const end = (async () => {
					const found = await holder.waitForPlan();
					result = found?.version ?? 'none';
				})();
				act({holder, clock});
				await Promise.race([end, new Promise(setImmediate)]);
				assert.is(result, expected);
			});
		}

		doTest('waits while the process is young', () => undefined, 'waits');
		doTest(
			'gives the plan that comes meanwhile',
			({holder, clock}) => {
				clock.advance(firstPlanWaitMs - 1);
				holder.setPlan(plan);
			},
			7,
		);
		doTest(
			'gives none when no plan came in time',
			({clock}) => {
				clock.advance(firstPlanWaitMs);
			},
			'none',
		);

		it('does not wait in an older process', async () => {
			const clock = new ManualClock();
			const holder = new PlanHolder(clock);
			clock.advance(firstPlanWaitMs);
			assert.is(await holder.waitForPlan(), undefined);
		});
	});
});
