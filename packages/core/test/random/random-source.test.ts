import {describe, it} from '@bilberryscale/testing';
import * as assert from 'uvu/assert';
import {makeSeededRandom} from '../../src/index.js';

const drawCount = 10_000;

function draw(seed: number): number[] {
	const random = makeSeededRandom(seed);
	return Array.from({length: drawCount}, () => random());
}

describe('makeSeededRandom', () => {
	it('gives equal sequences for equal seeds and not for others', () => {
		assert.equal(draw(5), draw(5));
		assert.not.equal(draw(5), draw(6));
	});

	it('spreads the first draws of small seeds over the range', () => {
		const draws = Array.from({length: 100}, (_, seed) =>
			makeSeededRandom(seed)(),
		);
		const below = draws.filter((draw) => draw < 0.5).length;
		assert.ok(below > 30 && below < 70, `${below} of 100 below one half`);
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
