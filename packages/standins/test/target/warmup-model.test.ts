import {describe, it} from '@bilberryscale/testing';
import * as assert from 'uvu/assert';
import {WarmupModel} from '../../src/target/warmup-model.js';

describe('WarmupModel', () => {
	const makeColdModel = () => {
		const warmth = new WarmupModel({slots: 4, coldAllowance: 1});
		warmth.turnCold();
		return warmth;
	};

	it('slows down sharply under full load when cold', () => {
		const warmth = makeColdModel();
		assert.is(warmth.getSlowdownFactor(1), 3);
		assert.is(warmth.getSlowdownFactor(4), 48);
	});

	it('warms up through runs within its capacity', () => {
		const warmth = makeColdModel();
		for (let run = 0; run < 41; run++) {
			warmth.recordRunEnd(1);
		}

		assert.not(warmth.isCold);
		assert.is(warmth.getSlowdownFactor(4), 1);
	});

	it('stays cold while it is overloaded', () => {
		const warmth = makeColdModel();
		for (let run = 0; run < 100; run++) {
			warmth.recordRunEnd(4);
		}

		assert.is(warmth.getSlowdownFactor(4), 48);
	});
});
