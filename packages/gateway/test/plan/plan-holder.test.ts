import {ManualClock} from '@bilberryscale/core';
import {describe, it} from '@bilberryscale/testing';
import * as assert from 'uvu/assert';
import {
	maxFirstPlanWaitMs,
	PlanHolder,
	type ActivePlan,
} from '../../src/plan/plan-holder.js';
import {RouteTable} from '../../src/plan/route-table.js';

const plan: ActivePlan = {
	version: 7,
	routeTable: new RouteTable([]),
	prioritizedServices: new Set(),
	limits: {
		maxHeaderBytes: 1,
		maxBodyBytes: 1,
		headerTimeoutMs: 1,
		idleTimeoutMs: 1,
	},
};

type PendingWait = {
	readonly holder: PlanHolder;
	readonly clock: ManualClock;
};

describe('PlanHolder', () => {
	describe('waitForPlan just after the start of the process', () => {
		function doTest(
			name: string,
			act: (pendingWait: PendingWait) => void,
			expected: number | 'none' | 'waits',
		): void {
			it(name, async () => {
				const clock = new ManualClock();
				const holder = new PlanHolder(clock);
				let result: number | 'none' | 'waits' = 'waits';
				const waitEnd = (async () => {
					const activePlan = await holder.waitForPlan();
					result = activePlan?.version ?? 'none';
				})();
				act({holder, clock});
				await Promise.race([waitEnd, new Promise(setImmediate)]);
				assert.is(result, expected);
			});
		}

		doTest('waits while no plan is set', () => undefined, 'waits');
		doTest(
			'returns the plan that is set during the wait',
			({holder, clock}) => {
				clock.advance(maxFirstPlanWaitMs - 1);
				holder.setPlan(plan);
			},
			7,
		);
		doTest(
			'returns undefined when no plan is set in time',
			({clock}) => {
				clock.advance(maxFirstPlanWaitMs);
			},
			'none',
		);

		it('does not wait once the maximum wait has passed', async () => {
			const clock = new ManualClock();
			const holder = new PlanHolder(clock);
			clock.advance(maxFirstPlanWaitMs);
			assert.is(await holder.waitForPlan(), undefined);
		});
	});
});
