import {
	ManualClock,
	makeSeededRandom,
	type DataCentreId,
} from '@bilberryscale/core';
import {describe, it} from '@bilberryscale/testing';
import * as assert from 'uvu/assert';
import {Membership} from '../../src/fleet/membership.js';
import {getReaders} from '../../src/fleet/reader-choice.js';
import {east, ScriptedSource, west} from '../fixtures.js';

type Input = {
	readonly address: string;
	readonly dataCentre: DataCentreId;
	readonly hasKnowledge: boolean;
};

function getNames({address, dataCentre, hasKnowledge}: Input): string {
	const membership = new Membership({
		clock: new ManualClock(),
		random: makeSeededRandom(1),
		address,
		dataCentre,
		incarnation: 1,
	});
	const others = [
		['1', east],
		['2', east],
		['3', east],
		['4', west],
		['5', west],
	] as const;
	membership.add(
		others.map(([other, otherDataCentre]) => ({
			address: other,
			dataCentre: otherDataCentre,
			incarnation: 1,
			beat: 1,
		})),
	);
	const readers = getReaders(
		{
			membership,
			address,
			dataCentre,
			store: new ScriptedSource('store', true),
			getPeer: (member) => new ScriptedSource(member.address, false),
		},
		hasKnowledge,
	);
	return readers.map(({name}) => name).join(' ');
}

describe('reader choice', () => {
	describe('getReaders', () => {
		function doTest(name: string, input: Input, expected: string): void {
			it(name, () => {
				assert.is(getNames(input), expected);
			});
		}

		const hasKnowledge = true;
		doTest(
			'lets the first host of all read the store',
			{address: '1', dataCentre: east, hasKnowledge},
			'store 4 2 3',
		);
		doTest(
			'lets the first host of another data centre read the first of all',
			{address: '4', dataCentre: west, hasKnowledge},
			'1 store 5',
		);
		doTest(
			'lets the others read the first of theirs, then the store',
			{address: '3', dataCentre: east, hasKnowledge},
			'1 store 4 2',
		);
		doTest(
			'lets a host that knows nothing read the store at once',
			{address: '3', dataCentre: east, hasKnowledge: false},
			'store 4 1 2',
		);
	});
});
