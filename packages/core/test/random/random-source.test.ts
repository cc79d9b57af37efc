import {describe, it} from '@bilberryscale/testing';
import * as assert from 'uvu/assert';
import {makeSeededRandom} from '../../src/index.js';

const drawsPerSeed = 10_000;

function draw(seed: number): number[] {
	const random = makeSeededRandom(seed);
	return Array.from({length: drawsPerSeed}, () => random());
}

describe('makeSeededRandom', () => {
	it('produces equal sequences for equal seeds and different ones for different seeds', () => {
		assert.equal(draw(5), draw(5));
		assert.not.equal(draw(5), draw(6));
	});

	it('spreads the first draws of small seeds over the whole range', () => {
		const draws = Array.from({length: 100}, (_, seed) =>
			makeSeededRandom(seed)(),
		);
		const belowHalf = draws.filter((draw) => draw < 0.5).length;
		assert.ok(
			belowHalf > 30 && belowHalf < 70,
			`${belowHalf} of 100 draws are below 0.5`,
		);
	});

	it('draws uniformly from 0 (inclusive) to 1 (exclusive)', () => {
		const values = draw(1);
		assert.ok(values.every((value) => value >= 0 && value < 1));
		const bucketCounts = Array.from(
			{length: 10},
			(_, bucket) =>
				values.filter((value) => Math.floor(value * 10) === bucket).length,
		);
		assert.ok(bucketCounts.every((count) => Math.abs(count - 1000) < 200));
	});
});
