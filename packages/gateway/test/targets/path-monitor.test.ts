import {ManualClock, makeId, type TargetId} from '@bilberryscale/core';
import {describe, it} from '@bilberryscale/testing';
import * as assert from 'uvu/assert';
import {PathMonitor} from '../../src/targets/path-monitor.js';
import {makeTestLog} from '../fixtures.js';

type Step = 'contact' | number;

describe('PathMonitor', () => {
	describe('isLost', () => {
		/** Each step is a contact with any target or a missed one by its number, 60 ms apart. */
		function doTest(
			name: string,
			input: {readonly steps: readonly Step[]; readonly targetCount?: number},
			expected: boolean,
		): void {
			it(name, () => {
				const clock = new ManualClock();
				const monitor = new PathMonitor({
					clock,
					log: makeTestLog(clock).log,
					getTargetCount: () => input.targetCount ?? 9,
				});
				for (const step of input.steps) {
					clock.advance(60);
					if (step === 'contact') {
						monitor.addContact();
					} else {
						monitor.addMiss(makeId<TargetId>(`i-${step}`));
					}
				}

				assert.is(monitor.isLost, expected);
			});
		}

		doTest('is false at first', {steps: []}, false);
		doTest('is true after three targets', {steps: [1, 2, 3]}, true);
		doTest(
			'is false after one target that fails often',
			{steps: [1, 1, 1, 1]},
			false,
		);
		doTest(
			'is false if another target has responded meanwhile',
			{steps: [1, 2, 'contact', 3, 4]},
			false,
		);
		doTest('is false after a response', {steps: [1, 2, 3, 'contact']}, false);
		doTest(
			'is true if the only two targets fail',
			{steps: [1, 2], targetCount: 2},
			true,
		);
	});

	it('is not lost within the moment in which others may still respond', () => {
		const clock = new ManualClock();
		const {log, lines} = makeTestLog(clock);
		const monitor = new PathMonitor({clock, log, getTargetCount: () => 9});
		clock.advance(1000);
		monitor.addContact();
		for (const id of ['a', 'b', 'c']) {
			monitor.addMiss(makeId<TargetId>(id));
		}

		assert.is(monitor.isLost, false);
		clock.advance(100);
		monitor.addMiss(makeId<TargetId>('a'));
		assert.is(monitor.isLost, true);
		monitor.addContact();
		assert.equal(
			lines.map(({message}) => message),
			['path to targets lost', 'path to targets regained'],
		);
	});
});
