import {describe, it} from '@bilberryscale/testing';
import * as assert from 'uvu/assert';
import {
	decideAdmission,
	type AdmissionDecision,
	type AdmissionContext,
} from '../../src/choice/admission.js';

const context: AdmissionContext = {
	ageMs: 5,
	remainingMs: 2000,
	targetLatencyMs: 600,
	serviceTimeMs: 220,
	bestLatencyMs: 220,
	hasFreeSlot: true,
};

describe('admission', () => {
	describe('decideAdmission', () => {
		function doTest(
			name: string,
			input: Partial<AdmissionContext>,
			expected: AdmissionDecision,
		): void {
			it(name, () => {
				assert.is(decideAdmission({...context, ...input}), expected);
			});
		}

		doTest('takes a near-optimal target', {}, 'take');
		doTest(
			'waits for something better than a last slot',
			{bestLatencyMs: 374},
			'wait',
		);
		doTest(
			'takes the last slot while that is on time',
			{bestLatencyMs: 374, ageMs: 150},
			'take',
		);
		doTest('waits while all targets are slow', {bestLatencyMs: 1100}, 'wait');
		doTest(
			'takes a slow target once no target could be on time',
			{bestLatencyMs: 1100, ageMs: 300},
			'take',
		);
		doTest(
			'refuses if it would be queued and no target could be on time',
			{bestLatencyMs: 900, ageMs: 300, hasFreeSlot: false},
			'refuse',
		);
		doTest(
			'refuses a request that cannot meet its deadline',
			{bestLatencyMs: 1100, ageMs: 300, remainingMs: 900},
			'refuse',
		);
		doTest(
			'waits if no target is usable',
			{bestLatencyMs: Number.POSITIVE_INFINITY, hasFreeSlot: false},
			'wait',
		);
		doTest('refuses at its deadline', {remainingMs: 0}, 'refuse');
	});
});
