import {describe, it} from '@bilberryscale/testing';
import * as assert from 'uvu/assert';
import {
	decideAcceptance,
	type Acceptance,
	type AcceptanceView,
} from '../../src/choice/acceptance.js';

const view: AcceptanceView = {
	ageMs: 5,
	leftMs: 2000,
	targetLatencyMs: 600,
	workMs: 220,
	bestMs: 220,
	hasFreeSlot: true,
};

describe('acceptance', () => {
	describe('decideAcceptance', () => {
		function doTest(
			name: string,
			input: Partial<AcceptanceView>,
			expected: Acceptance,
		): void {
			it(name, () => {
				assert.is(decideAcceptance({...view, ...input}), expected);
			});
		}

		doTest('takes a good target', {}, 'take');
		doTest('waits for more than a last slot', {bestMs: 374}, 'wait');
		doTest('takes the last slot in time', {bestMs: 374, ageMs: 150}, 'take');
		doTest('waits while all are slow', {bestMs: 1100}, 'wait');
		doTest('takes a slow one late', {bestMs: 1100, ageMs: 300}, 'take');
		doTest(
			'refuses once it would only queue up',
			{bestMs: 900, ageMs: 300, hasFreeSlot: false},
			'refuse',
		);
		doTest(
			'refuses what cannot end in time for the caller',
			{bestMs: 1100, ageMs: 300, leftMs: 900},
			'refuse',
		);
		doTest(
			'waits if no target may take it',
			{bestMs: Number.POSITIVE_INFINITY, hasFreeSlot: false},
			'wait',
		);
		doTest('refuses at its deadline', {leftMs: 0}, 'refuse');
	});
});
