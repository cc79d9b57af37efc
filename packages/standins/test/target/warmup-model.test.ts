import {describe, it} from '@bilberryscale/testing';
import * as assert from 'uvu/assert';
import {WarmupModel} from '../../src/target/warmup-model.js';

describe('Warmth', () => {
	const makeColdModel = () => {
		const warmth = new WarmupModel({slots: 4, coldAllowance: 1});
		warmth.turnCold();
		return warmth;
	};

	it('collapses under full load when cold', () => {
		const warmth = makeColdModel();
		assert.is(warmth.getSlowdownFactor(1), 3);
		assert.is(warmth.getSlowdownFactor(4), 48);
	});

	it('warms by runs that it can bear', () => {
		const warmth = makeColdModel();
		for (let run = 0; run < 41; run++) {
			warmth.recordRunEnd(1);
		}

		assert.not(warmth.isCold);
		assert.is(warmth.getSlowdownFactor(4), 1);
	});

	it('stays cold while it carries too much', () => {
		const warmth = makeColdModel();
		for (let run = 0; run < 100; run++) {
			warmth.recordRunEnd(4);
		}

		assert.is(warmth.getSlowdownFactor(4), 48);
	});
});
