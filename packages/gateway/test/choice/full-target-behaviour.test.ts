import {Buffer} from 'node:buffer';
import {makeId, ManualClock, type ServiceName} from '@bilberryscale/core';
import {describe, it} from '@bilberryscale/testing';
import * as assert from 'uvu/assert';
import {FullTargetBehaviour} from '../../src/choice/full-target-behaviour.js';
import type {AttemptResult} from '../../src/relay/attempt-result.js';
import {reading} from '../fixtures.js';

const answered: AttemptResult = {
	kind: 'answered',
	answer: {status: 200, headers: {}, body: Buffer.from('')},
};
const refused: AttemptResult = {kind: 'refused', status: 503};
const stalled: AttemptResult = {
	kind: 'failed',
	cause: 'stalled',
	mayHaveRun: true,
	detail: 'stalled',
};
const broken: AttemptResult = {...stalled, cause: 'broken'};

type Outcomes = ReadonlyArray<
	readonly [count: number, place: number, result: AttemptResult]
>;

function learn(clock: ManualClock, outcomes: Outcomes): FullTargetBehaviour {
	const behaviour = new FullTargetBehaviour(clock);
	for (const [count, place, result] of outcomes) {
		for (let index = 0; index < count; index++) {
			behaviour.add(reading, place, result);
		}
	}

	return behaviour;
}

describe('FullTargetBehaviour', () => {
	describe('get', () => {
		function doTest(
			name: string,
			outcomes: Outcomes,
			expectedMaxQueued: number,
		): void {
			it(name, () => {
				const behaviour = learn(new ManualClock(), outcomes);
				assert.is(behaviour.get(reading).maxQueued, expectedMaxQueued);
			});
		}

		const unlimited = Number.POSITIVE_INFINITY;
		doTest('sets no limit before it has seen anything', [], unlimited);
		doTest(
			'allows no queue after requests hung at full targets',
			[[2, 1, stalled]],
			0,
		);
		doTest(
			'allows the places of the queue that were seen to be answered',
			[
				[6, 1, answered],
				[5, 2, answered],
				[8, 3, stalled],
			],
			2,
		);
		doTest(
			'takes no single lost request for a hang',
			[[1, 1, stalled]],
			unlimited,
		);
		doTest(
			'takes no long service times for a hang',
			[
				[20, 1, answered],
				[2, 1, stalled],
			],
			unlimited,
		);
		doTest(
			'sets no limit where full targets refuse',
			[
				[2, 1, stalled],
				[9, 1, refused],
			],
			unlimited,
		);
		doTest(
			'learns nothing from a lost request at a target with free slots',
			[[9, 0, stalled]],
			unlimited,
		);
		doTest(
			'learns nothing from a connection that broke',
			[[9, 1, broken]],
			unlimited,
		);

		it('forgets after some minutes, as targets may have changed', () => {
			const clock = new ManualClock();
			const behaviour = learn(clock, [[4, 1, stalled]]);
			clock.advance(180_000);
			assert.is(behaviour.get(reading).maxQueued, unlimited);
		});

		it('learns for one service only', () => {
			const behaviour = learn(new ManualClock(), [[4, 1, stalled]]);
			const other = makeId<ServiceName>('writing');
			assert.is(behaviour.get(other).maxQueued, unlimited);
		});
	});
});
