import {ManualClock} from '@bilberryscale/core';
import {describe, it} from '@bilberryscale/testing';
import * as assert from 'uvu/assert';
import {LoadHistory} from '../../src/target/load-history.js';

describe('LoadHistory', () => {
	it('returns the load at an earlier time', () => {
		const clock = new ManualClock();
		const history = new LoadHistory(clock);
		clock.advance(100);
		history.add(3);
		clock.advance(100);
		history.add(1);
		assert.is(history.get(0), 1);
		assert.is(history.get(100), 3);
		assert.is(history.get(200), 0);
	});
});
