import {ManualClock} from '@bilberryscale/core';
import {describe, it} from '@bilberryscale/testing';
import * as assert from 'uvu/assert';
import {Confirmation} from '../../src/snapshot/confirmation.js';
import type {PublishedChanges} from '../../src/snapshot/snapshot-source.js';
import {makeChanges} from '../fixtures.js';

describe('Confirmation', () => {
	describe('renew', () => {
		function doTest(
			name: string,
			input: {
				readonly elapsedMs: number;
				readonly changes: Partial<PublishedChanges>;
			},
			expectedAgeMs: number,
		): void {
			it(name, () => {
				const clock = new ManualClock();
				const confirmation = new Confirmation(clock);
				const startedAtMs = clock.monotonicMs();
				clock.advance(input.elapsedMs);
				const changes = {...makeChanges(1, []), ...input.changes};
				assert.is(confirmation.renew(changes, startedAtMs), true);
				assert.is(confirmation.ageMs, expectedAgeMs);
			});
		}

		doTest(
			'counts the age from the request',
			{elapsedMs: 30, changes: {ageMs: 200}},
			230,
		);
		doTest(
			'counts the time for which the request was held as fresh',
			{elapsedMs: 510, changes: {heldMs: 500, ageMs: 200}},
			210,
		);
		// The response lay in the buffer of a host that stood still, and counted as fresh.
		doTest(
			'counts the time after the source has responded',
			{elapsedMs: 9000, changes: {heldMs: 500}},
			8500,
		);
		doTest(
			'does not believe that the request was held for longer than it took',
			{elapsedMs: 10, changes: {heldMs: 5000, ageMs: 100}},
			100,
		);

		it('keeps a newer confirmation and the hosts on its way', () => {
			const clock = new ManualClock();
			const confirmation = new Confirmation(clock);
			const near = {...makeChanges(1, []), ageMs: 5, via: ['a', 'b']};
			confirmation.renew({...near, viaAgesMs: [2]}, clock.monotonicMs());
			const older = {...makeChanges(1, []), ageMs: 50, via: ['c']};
			assert.is(confirmation.renew(older, clock.monotonicMs()), false);
			assert.is(confirmation.ageMs, 5);
			assert.equal(confirmation.via, ['a', 'b']);
			assert.equal(confirmation.viaAgesMs, [5, 2]);
		});
	});

	it('is infinitely old before the first one', () => {
		const confirmation = new Confirmation(new ManualClock());
		assert.is(confirmation.ageMs, Number.POSITIVE_INFINITY);
	});
});
