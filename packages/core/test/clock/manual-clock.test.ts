import {describe, it} from '@bilberryscale/testing';
import * as assert from 'uvu/assert';
import {ManualClock} from '../../src/index.js';

describe('ManualClock', () => {
	describe('advance', () => {
		it('runs due actions in order of time', () => {
			const clock = new ManualClock();
			const runs: string[] = [];
			clock.schedule(20, () => runs.push(`b ${clock.monotonicMs()}`));
			clock.schedule(10, () => runs.push(`a ${clock.monotonicMs()}`));
			clock.schedule(40, () => runs.push('c'));
			clock.advance(30);
			assert.equal(runs, ['a 10', 'b 20']);
			assert.is(clock.monotonicMs(), 30);
		});

		it('does not run cancelled actions', () => {
			const clock = new ManualClock();
			let count = 0;
			const cancel = clock.schedule(10, () => count++);
			cancel();
			clock.advance(20);
			assert.is(count, 0);
		});
	});

	describe('stepWallClock', () => {
		it('does not change the monotonic time', () => {
			const clock = new ManualClock(new Date(0));
			clock.stepWallClock(3_600_000);
			assert.is(clock.monotonicMs(), 0);
			assert.is(clock.now().getTime(), 3_600_000);
		});
	});
});
