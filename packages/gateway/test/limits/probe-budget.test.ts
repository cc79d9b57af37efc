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
					new ProbeBudget({
						getProbesPerTargetSecond: () => probesPerTargetSecond,
						getHostCount: () => 15,
						startedAtMs: 0,
					}),
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
				new ProbeBudget({
					getProbesPerTargetSecond: () => 60,
					getHostCount: () => 15,
					startedAtMs: 0,
				}).take(3, 9, 0),
				3,
			);
		});

		// Guards against processes that each start with half a minute's probes.
		it('grants a host that has just started a second of its part at once', () => {
			const budget = new ProbeBudget({
				getProbesPerTargetSecond: () => 60,
				getHostCount: () => 16,
				startedAtMs: 7000,
			});
			assert.is(budget.take(100, 8, 7000), 18);
			assert.is(budget.take(100, 8, 7000), 0);
			assert.is(budget.take(100, 8, 8000), 18);
		});
	});
});
