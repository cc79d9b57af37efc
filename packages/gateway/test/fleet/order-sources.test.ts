import {
	ManualClock,
	makeSeededRandom,
	type DataCentreId,
} from '@bilberryscale/core';
import {describe, it} from '@bilberryscale/testing';
import * as assert from 'uvu/assert';
import {Membership} from '../../src/fleet/membership.js';
import {orderSources} from '../../src/fleet/order-sources.js';
import {east, ScriptedSource, west} from '../fixtures.js';

type Input = {
	readonly address: string;
	readonly dataCentre: DataCentreId;
	readonly hasSnapshot: boolean;
};

function getSourceNames({address, dataCentre, hasSnapshot}: Input): string {
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
			heartbeat: 1,
		})),
	);
	const sources = orderSources(
		{
			membership,
			address,
			dataCentre,
			store: new ScriptedSource('store', true),
			getPeer: (member) => new ScriptedSource(member.address, false),
		},
		hasSnapshot,
	);
	return sources.map(({name}) => name).join(' ');
}

describe('order of sources', () => {
	describe('orderSources', () => {
		function doTest(name: string, input: Input, expected: string): void {
			it(name, () => {
				assert.is(getSourceNames(input), expected);
			});
		}

		const hasSnapshot = true;
		doTest(
			'lets the first host of the first data centre read the store',
			{address: '1', dataCentre: east, hasSnapshot},
			'store 4 2 3',
		);
		doTest(
			'lets the first host of another data centre read from the first host of the first one',
			{address: '4', dataCentre: west, hasSnapshot},
			'1 store 5',
		);
		doTest(
			'lets other hosts read from three hosts before the store',
			{address: '3', dataCentre: east, hasSnapshot},
			'1 2 4 store',
		);
		doTest(
			'lets a host without a snapshot read the store first, then hosts of its data centre',
			{address: '3', dataCentre: east, hasSnapshot: false},
			'store 1 2 4',
		);
	});
});
