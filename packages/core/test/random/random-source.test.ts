import {describe, it} from '@bilberryscale/testing';
import * as assert from 'uvu/assert';
import {makeSeededRandom} from '../../src/index.js';

describe('makeSeededRandom', () => {
	it('gives equal sequences for equal seeds', () => {
		const [first, second] = [makeSeededRandom(5), makeSeededRandom(5)];
		assert.is(first(), second());
		assert.is(first(), second());
	});

	it('spreads the first draws of small seeds over the range', () => {
		const draws = Array.from({length: 100}, (_, seed) =>
			makeSeededRandom(seed)(),
		);
		const below = draws.filter((draw) => draw < 0.5).length;
		assert.ok(below > 30 && below < 70, `${below} of 100 below one half`);
	});
});
