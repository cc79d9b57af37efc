import {describe, it} from '@bilberryscale/testing';
import * as assert from 'uvu/assert';
import {decodePublishedChanges} from '../../src/fleet/decode-published-changes.js';

const valid = {
	isWhole: false,
	changes: [
		{name: 'a', text: 'x', revision: 3},
		{name: 'b', revision: 4},
	],
	era: 2,
	revision: 4,
	ageMs: 1.5,
	heldMs: 120,
	holdMs: 0,
	via: ['10.0.0.1', '10.0.0.2'],
	viaAgesMs: [12],
};

describe('decodePublishedChanges', () => {
	function doTest(name: string, input: unknown, expected: unknown): void {
		it(name, () => {
			assert.equal(decodePublishedChanges(input), expected);
		});
	}

	doTest('decodes changes', valid, valid);
	doTest(
		'decodes those of a host of an earlier version',
		{
			...valid,
			era: undefined,
			heldMs: undefined,
			via: undefined,
			viaAgesMs: undefined,
		},
		{...valid, era: 0, heldMs: 0, via: [], viaAgesMs: []},
	);
	for (const [name, input] of [
		['null', null],
		['a list', []],
		['missing changes', {...valid, changes: undefined}],
		['a change that is null', {...valid, changes: [null]}],
		[
			'a text that is a number',
			{...valid, changes: [{name: 'a', text: 1, revision: 1}]},
		],
		['a negative revision', {...valid, revision: -1}],
		['an age that is a string', {...valid, ageMs: '1'}],
		['a negative time for which the request was held', {...valid, heldMs: -1}],
		['hosts that are numbers', {...valid, via: [1]}],
		['a negative age of a host', {...valid, viaAgesMs: [-1]}],
	] as const) {
		doTest(`rejects ${name}`, input, undefined);
	}
});
