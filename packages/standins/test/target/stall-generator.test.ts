import {ManualClock, makeSeededRandom} from '@bilberryscale/core';
import {describe, it} from '@bilberryscale/testing';
import * as assert from 'uvu/assert';
import {StallGenerator} from '../../src/target/stall-generator.js';

describe('StallGenerator', () => {
	it('stalls for the expected share of the time, and not without a pattern', () => {
		const clock = new ManualClock();
		const generator = new StallGenerator(clock, makeSeededRandom(7));
		generator.setPattern({perSecond: 2, shortestMs: 5, longestMs: 50});
		let stalledMs = 0;
		for (let atMs = 0; atMs < 10_000; atMs++) {
			clock.advance(1);
			stalledMs += generator.getRemainingMs() > 0 ? 1 : 0;
		}

		assert.ok(stalledMs > 200 && stalledMs < 1200, `${stalledMs} ms`);
		generator.setPattern(undefined);
		clock.advance(5000);
		assert.is(generator.getRemainingMs(), 0);
	});
});
