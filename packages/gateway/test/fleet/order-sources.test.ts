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
	readonly current?: string;
	readonly isStoreDown?: boolean;
	/** The hosts that failed or were stale a short time ago. */
	readonly unusable?: readonly string[];
	readonly unreliable?: readonly string[];
	readonly suspect?: readonly string[];
};

function getSourceNames({
	address,
	dataCentre,
	hasSnapshot,
	current,
	isStoreDown = false,
	unusable = [],
	unreliable = [],
	suspect = [],
}: Input): string {
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
		['3a', east],
		['3b', east],
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
		{
			hasSnapshot,
			isStoreDown,
			current:
				current === undefined
					? undefined
					: new ScriptedSource(current, current === 'store'),
			isUsable: ({name}) => !unusable.includes(name),
			getReliability({name}) {
				if (unreliable.includes(name)) {
					return 'unreliable';
				}

				return suspect.includes(name) ? 'suspect' : 'reliable';
			},
		},
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
		doTest(
			'passes over hosts that failed',
			{address: '3b', dataCentre: east, hasSnapshot, unusable: ['1', '2', '4']},
			'3 3a 5 store',
		);
		doTest(
			'lets a later host read the store rather than from one after it',
			{address: '3a', dataCentre: east, hasSnapshot, unusable: ['1', '2', '3']},
			'1 2 4 store',
		);
		doTest(
			'lets a host that has lost the store read from any other',
			{
				address: '1',
				dataCentre: east,
				hasSnapshot,
				isStoreDown: true,
				unusable: ['2', '3', '4'],
			},
			'store 5 3a 3b',
		);
		doTest(
			'tries one host that may have recovered before the current source',
			{
				address: '3b',
				dataCentre: east,
				hasSnapshot,
				current: '3a',
				suspect: ['1', '2'],
			},
			'1 4 3a 2 store',
		);
		doTest(
			'tries unreliable hosts after the store if that is the current source',
			{
				address: '3a',
				dataCentre: east,
				hasSnapshot,
				current: 'store',
				unreliable: ['2', '4'],
			},
			'1 store 2 4',
		);
		doTest(
			'tries unreliable hosts after the current source',
			{
				address: '3b',
				dataCentre: east,
				hasSnapshot,
				current: '3a',
				unreliable: ['1', '2'],
			},
			'4 3a 1 2 store',
		);
		doTest(
			'keeps the current source before the store',
			{address: '3b', dataCentre: east, hasSnapshot, current: '3a'},
			'1 2 4 3a store',
		);
	});
});
