import {describe, it} from '@bilberryscale/testing';
import * as assert from 'uvu/assert';
import {makeSeededRandom} from '../../src/index.js';

const drawCount = 10_000;

function draw(seed: number): number[] {
	const random = makeSeededRandom(seed);
	return Array.from({length: drawCount}, () => random());
}

describe('makeSeededRandom', () => {
	it('repeats itself for the same seed and not for another', () => {
		assert.equal(draw(7), draw(7));
		assert.not.equal(draw(7), draw(8));
	});

	it('draws evenly from 0 to below 1', () => {
		const values = draw(1);
		assert.ok(values.every((value) => value >= 0 && value < 1));
		const tenths = Array.from(
			{length: 10},
			(_, index) =>
				values.filter((value) => Math.floor(value * 10) === index).length,
		);
		assert.ok(tenths.every((count) => Math.abs(count - 1000) < 200));
	});
});
