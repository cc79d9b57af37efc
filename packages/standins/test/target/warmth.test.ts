import {describe, it} from '@bilberryscale/testing';
import * as assert from 'uvu/assert';
import {Warmth} from '../../src/target/warmth.js';

describe('Warmth', () => {
	const makeCold = () => {
		const warmth = new Warmth({slots: 4, coldAllowance: 1});
		warmth.turnCold();
		return warmth;
	};

	it('collapses under full load when cold', () => {
		const warmth = makeCold();
		assert.is(warmth.getSlowdown(1), 3);
		assert.is(warmth.getSlowdown(4), 48);
	});

	it('warms by runs that it can bear', () => {
		const warmth = makeCold();
		for (let run = 0; run < 41; run++) {
			warmth.noteEnd(1);
		}

		assert.not(warmth.isCold);
		assert.is(warmth.getSlowdown(4), 1);
	});

	it('stays cold while it carries too much', () => {
		const warmth = makeCold();
		for (let run = 0; run < 100; run++) {
			warmth.noteEnd(4);
		}

		assert.is(warmth.getSlowdown(4), 48);
	});
});
