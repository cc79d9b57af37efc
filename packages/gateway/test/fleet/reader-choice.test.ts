import {ManualClock, makeSeededRandom} from '@bilberryscale/core';
import {describe, it} from '@bilberryscale/testing';
import * as assert from 'uvu/assert';
import {Membership} from '../../src/fleet/membership.js';
import {getReaders} from '../../src/fleet/reader-choice.js';
import {east, ScriptedReader, west} from '../fixtures.js';

function getNames(address: string, hasKnowledge: boolean): string {
	const membership = new Membership({
		clock: new ManualClock(),
		random: makeSeededRandom(1),
		address,
		dataCentre: east,
		incarnation: 1,
	});
	const others = [
		['1', east],
		['2', east],
		['3', east],
		['4', west],
	] as const;
	membership.add(
		others.map(([other, dataCentre]) => ({
			address: other,
			dataCentre,
			incarnation: 1,
			beat: 1,
		})),
	);
	const readers = getReaders(
		{
			membership,
			address,
			dataCentre: east,
			store: new ScriptedReader('store', true),
			getPeer: (member) => new ScriptedReader(member.address, false),
		},
		hasKnowledge,
	);
	return readers.map(({name}) => name).join(' ');
}

describe('reader choice', () => {
	describe('getReaders', () => {
		function doTest(
			name: string,
			input: {readonly address: string; readonly hasKnowledge: boolean},
			expected: string,
		): void {
			it(name, () => {
				assert.is(getNames(input.address, input.hasKnowledge), expected);
			});
		}

		doTest(
			'lets the first host read the store',
			{address: '1', hasKnowledge: true},
			'store 4 2 3',
		);
		doTest(
			'lets the others read the first, then the store',
			{address: '3', hasKnowledge: true},
			'1 store 4 2',
		);
		doTest(
			'lets a host that knows nothing read the store at once',
			{address: '3', hasKnowledge: false},
			'store 4 1 2',
		);
	});
});
