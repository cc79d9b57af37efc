import {describe, it} from '@bilberryscale/testing';
import * as assert from 'uvu/assert';
import {ProbeBudget} from '../../src/limits/probe-budget.js';

describe('ProbeBudget', () => {
	describe('take', () => {
		it('keeps all hosts together below the limit of the targets', () => {
			const probesPerTargetSecond = 60;
			const targets = 8;
			const hosts = Array.from(
				{length: 15},
				() =>
					new ProbeBudget(
						() => probesPerTargetSecond,
						() => 15,
					),
			);
			let probeCount = 0;
			const seconds = 60;
			for (let nowMs = 0; nowMs < seconds * 1000; nowMs += 20) {
				for (const host of hosts) {
					probeCount += host.take(targets, targets, nowMs);
				}
			}

			const limit = probesPerTargetSecond * targets * seconds;
			assert.ok(probeCount <= limit, `${probeCount} of ${limit}`);
			assert.ok(probeCount > limit / 2, `${probeCount} of ${limit}`);
		});

		it('grants no more than requested', () => {
			assert.is(
				new ProbeBudget(
					() => 60,
					() => 15,
				).take(3, 9, 0),
				3,
			);
		});
	});
});
