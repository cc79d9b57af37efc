import {describe, it} from '@bilberryscale/testing';
import * as assert from 'uvu/assert';
import {WarmupModel} from '../../src/target/warmup-model.js';

describe('WarmupModel', () => {
	const makeColdModel = () => {
		const model = new WarmupModel({slots: 4, coldAllowance: 1});
		model.turnCold();
		return model;
	};

	it('slows down sharply under full load when cold', () => {
		const model = makeColdModel();
		assert.is(model.getSlowdownFactor(1), 3);
		assert.is(model.getSlowdownFactor(4), 48);
	});

	it('warms up through runs within its capacity', () => {
		const model = makeColdModel();
		for (let run = 0; run < 41; run++) {
			model.recordRunEnd(1);
		}

		assert.not(model.isCold);
		assert.is(model.getSlowdownFactor(4), 1);
	});

	it('stays cold while it is overloaded', () => {
		const model = makeColdModel();
		for (let run = 0; run < 100; run++) {
			model.recordRunEnd(4);
		}

		assert.is(model.getSlowdownFactor(4), 48);
	});
});
