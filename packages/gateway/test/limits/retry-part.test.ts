import {ManualClock} from '@bilberryscale/core';
import {describe, it} from '@bilberryscale/testing';
import * as assert from 'uvu/assert';
import {RetryPartTracker, type RetryPart} from '../../src/limits/retry-part.js';

const windowMs = 10_000;

type Knowledge = {
	readonly ageMs: number;
	readonly isFirstStart?: boolean;
	readonly isAnnounced?: boolean;
	readonly hasMajority?: boolean;
	readonly peerCount?: number;
};

describe('RetryPartTracker', () => {
	describe('getPart', () => {
		function doTest(
			name: string,
			{
				ageMs,
				isFirstStart = false,
				isAnnounced = true,
				hasMajority = true,
				peerCount = 4,
			}: Knowledge,
			expected: RetryPart,
		): void {
			it(name, () => {
				const clock = new ManualClock();
				const tracker = new RetryPartTracker({
					clock,
					isFirstStart,
					directory: {
						getHosts: () => Array.from({length: peerCount}, String),
						hasMajority,
					},
					announcement: {isComplete: isAnnounced},
					onChange: () => undefined,
				});
				clock.advance(ageMs);
				assert.equal(tracker.getPart(windowMs), expected);
			});
		}

		const settled = {hostCount: 5, hasSlack: true, isNew: false};
		const fresh = {hostCount: 16, hasSlack: false, isNew: true};
		doTest('counts the known hosts and itself', {ageMs: 15_000}, settled);
		// Guards against a new process that spends again what the one before it has spent.
		doTest(
			'has no slack in the window of the previous run',
			{ageMs: 14_900},
			fresh,
		);
		doTest(
			'has slack after the first start of the fleet as soon as hosts know each other',
			{ageMs: 5000, isFirstStart: true},
			settled,
		);
		doTest(
			'has no slack before that, but need not earn its first retry',
			{ageMs: 4900, isFirstStart: true, isAnnounced: false},
			{hostCount: 16, hasSlack: false, isNew: false},
		);
		// Guards against hosts that divide the slack without one that has joined.
		doTest(
			'has no slack until all hosts know it',
			{ageMs: 60_000, isAnnounced: false},
			fresh,
		);
		doTest(
			'has no slack on the smaller side of a partition',
			{ageMs: 600_000, hasMajority: false, peerCount: 40},
			{hostCount: 41, hasSlack: false, isNew: false},
		);
	});
});
