/**
 * Load: a service with a burst of less urgent requests. Guards against slots that
 * stay free without need, and against reservations that begin and end with each
 * small change of the utilization.
 */

import {describe, it} from '@bilberryscale/testing';
import * as assert from 'uvu/assert';
import {
	decideReservation,
	getReservedDepth,
	type RankContext,
} from '../../src/choice/rank-admission.js';

const context: RankContext = {
	utilization: 0.95,
	lessUrgentCount: 0,
	urgentDemand: 8,
	targetCount: 100,
	slotsPerTarget: 6,
	wasActive: false,
};

describe('rank admission', () => {
	describe('decideReservation', () => {
		function doTest(
			name: string,
			changes: Partial<RankContext>,
			expected: boolean,
		): void {
			it(name, () => {
				const {isActive} = decideReservation({...context, ...changes});
				assert.is(isActive, expected);
			});
		}

		doTest('begins at the threshold', {utilization: 0.7}, true);
		doTest('does not begin below it', {utilization: 0.69}, false);
		doTest(
			'does not end just below the threshold',
			{utilization: 0.56, wasActive: true},
			true,
		);
		doTest(
			'ends below the lower threshold',
			{utilization: 0.54, wasActive: true},
			false,
		);
		doTest(
			'begins later for a more urgent rank',
			{utilization: 0.75, lessUrgentCount: 1},
			false,
		);
		doTest('leaves nothing without urgent demand', {urgentDemand: 0}, false);
		doTest('copes with a service without targets', {targetCount: 0}, false);

		it('leaves the demand and a margin of a quarter of the targets free', () => {
			const {targetShare} = decideReservation(context);
			assert.is(targetShare, 0.25 + 8 / (2 * 100));
		});

		it('leaves less while urgent requests are rare', () => {
			const {targetShare} = decideReservation({
				...context,
				urgentDemand: 0.01,
			});
			assert.ok(targetShare < 0.03, `${targetShare}`);
		});

		for (const slotsPerTarget of [1, 2, 3, 4, 6, 12]) {
			it(`leaves at most a tenth of the slots free as margin, with ${slotsPerTarget} slots a target`, () => {
				const {targetShare} = decideReservation({
					...context,
					urgentDemand: 0.1,
					slotsPerTarget,
				});
				const freeSlots = targetShare * getReservedDepth(slotsPerTarget);
				assert.ok(freeSlots <= 0.1 * slotsPerTarget + 0.002, `${freeSlots}`);
			});
		}
	});
});
