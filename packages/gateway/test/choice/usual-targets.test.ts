import {ManualClock, makeId, type HostId} from '@bilberryscale/core';
import {describe, it} from '@bilberryscale/testing';
import * as assert from 'uvu/assert';
import {getUsualTargets} from '../../src/choice/usual-targets.js';
import {TargetLink} from '../../src/targets/target-link.js';
import {TargetState} from '../../src/targets/target-state.js';
import {makeRegisteredTarget} from '../fixtures.js';

const most = 8;

function makeStates(count: number): TargetState[] {
	const link = new TargetLink({
		clock: new ManualClock(),
		origin: 'http://127.0.0.1:9',
		localAddress: '127.0.0.1',
		getLimit: () => 2,
	});
	return Array.from(
		{length: count},
		(_, index) => new TargetState(makeRegisteredTarget(`i-${index}`), link, 0),
	);
}

function getIds(states: readonly TargetState[], host: string): string[] {
	return getUsualTargets(states, makeId<HostId>(host), most).map(
		({listed}) => listed.id,
	);
}

describe('usual targets', () => {
	describe('getUsualTargets', () => {
		it('are all of few', () => {
			assert.is(getIds(makeStates(5), 'h').length, 5);
		});

		it('stay when another target leaves', () => {
			const states = makeStates(30);
			const before = getIds(states, 'h');
			const after = getIds(
				states.filter(({listed}) => listed.id !== before[0]),
				'h',
			);
			assert.equal(after.slice(0, most - 1), before.slice(1));
		});

		it('spread the hosts over the targets', () => {
			const states = makeStates(24);
			const counts = new Map<string, number>();
			for (let host = 0; host < 60; host++) {
				for (const id of getIds(states, `host-${host}`)) {
					counts.set(id, (counts.get(id) ?? 0) + 1);
				}
			}

			const fair = (60 * most) / 24;
			assert.is(counts.size, 24);
			assert.ok(Math.max(...counts.values()) < fair * 2);
		});
	});
});
