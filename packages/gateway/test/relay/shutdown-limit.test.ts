import {makeId, ManualClock} from '@bilberryscale/core';
import {describe, it} from '@bilberryscale/testing';
import * as assert from 'uvu/assert';
import type {RouteName} from '../../src/plan/routing-plan.js';
import {ServiceTimes} from '../../src/relay/service-times.js';
import {ShutdownLimit} from '../../src/relay/shutdown-limit.js';

const name = makeId<RouteName>('r');

describe('ShutdownLimit', () => {
	describe('isTooLate', () => {
		function doTest(
			description: string,
			input: {
				readonly remainingMs: number;
				readonly deadlineMs?: number;
				readonly expectedMs?: number;
				/** Whether load balancers have noticed the shutdown. */
				readonly isLate?: boolean;
				readonly isForwarded?: boolean;
			},
			expected: boolean,
		): void {
			it(description, () => {
				const serviceTimes = new ServiceTimes();
				// One of 16 requests takes five times as long as the others.
				for (let index = 0; index < 64; index++) {
					serviceTimes.add(name, index % 16 === 0 ? 500 : 100);
				}

				const limit = new ShutdownLimit({
					clock: new ManualClock(),
					serviceTimes,
					getShutdownMs: () => input.remainingMs,
					getEstimatesUntilMs: () =>
						input.isLate === true ? -1 : Number.POSITIVE_INFINITY,
				});
				const route = {name, targetLatencyMs: 600};
				const {deadlineMs = 10_000, expectedMs, isForwarded = false} = input;
				assert.is(
					limit.isTooLate({route, deadlineMs, isForwarded}, expectedMs),
					expected,
				);
			});
		}

		doTest(
			'is false without a shutdown',
			{remainingMs: Number.POSITIVE_INFINITY},
			false,
		);
		doTest(
			'is false while a long request would fit',
			{remainingMs: 510},
			false,
		);
		doTest('is true if a long request would not fit', {remainingMs: 490}, true);
		doTest(
			'is true if most but not all of the recent requests would fit',
			{remainingMs: 110},
			true,
		);
		doTest(
			'is false if the deadline comes before the end',
			{remainingMs: 490, deadlineMs: 480},
			false,
		);
		doTest(
			'is true at a target that takes longer',
			{remainingMs: 510, expectedMs: 1000},
			true,
		);
		doTest(
			'is true late if the deadline comes after the end, however short requests are',
			{isLate: true, remainingMs: 2900, deadlineMs: 2901},
			true,
		);
		doTest(
			'is true late if an answer at the deadline would come after the end',
			{isLate: true, remainingMs: 2900, deadlineMs: 2821},
			true,
		);
		doTest(
			'is false late if an answer at the deadline would come before the end',
			{isLate: true, remainingMs: 2900, deadlineMs: 2820},
			false,
		);
		doTest(
			'is true for a forwarded request whose deadline comes after the end',
			{isForwarded: true, remainingMs: 5000, deadlineMs: 5001},
			true,
		);
		doTest(
			'is false for a forwarded request without a shutdown',
			{isForwarded: true, remainingMs: Number.POSITIVE_INFINITY},
			false,
		);
	});
});
