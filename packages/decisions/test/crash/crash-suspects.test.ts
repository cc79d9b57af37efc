/** Tests the detection of requests that crash targets. */

import {makeId, type Digest} from '@bilberryscale/core';
import {describe, it} from '@bilberryscale/testing';
import * as assert from 'uvu/assert';
import {CrashSuspects} from '../../src/index.js';

const crashing = makeId<Digest>('crashing');
const harmless = makeId<Digest>('harmless');

type Crash = {readonly signature: Digest; readonly incarnation: string};

function makeSuspects(
	crashes: readonly Crash[],
	isConfirmed = true,
): CrashSuspects {
	const suspects = new CrashSuspects();
	for (const {signature, incarnation} of crashes) {
		const incident = {incarnation, atMs: 0, isConfirmed: () => isConfirmed};
		suspects.addIncident(signature, incident);
	}

	return suspects;
}

const twoCrashes = [
	{signature: crashing, incarnation: 'first'},
	{signature: crashing, incarnation: 'second'},
];

describe('CrashSuspects', () => {
	const expectBlocked = (
		suspects: CrashSuspects,
		expected: boolean,
		signature = crashing,
	) => {
		assert.is(suspects.isBlocked(signature, 0), expected);
	};

	it('blocks a request after crashes of two incarnations', () => {
		expectBlocked(makeSuspects(twoCrashes), true);
	});

	it('does not block after one crash that is reported repeatedly', () => {
		expectBlocked(makeSuspects([twoCrashes[0]!, twoCrashes[0]!]), false);
	});

	it('does not count broken connections as crashes', () => {
		expectBlocked(makeSuspects(twoCrashes, false), false);
	});

	it('does not block a request that was in flight at only one of the two crashes', () => {
		const crashes = [
			...twoCrashes,
			{signature: harmless, incarnation: 'second'},
		];
		expectBlocked(makeSuspects(crashes), true);
		expectBlocked(makeSuspects(crashes), false, harmless);
	});

	it('blocks neither of two requests in flight at both crashes until one crashes alone', () => {
		const other = twoCrashes.map(({incarnation}) => ({
			signature: harmless,
			incarnation,
		}));
		const crashes = [...twoCrashes, ...other];
		expectBlocked(makeSuspects(crashes), false);
		expectBlocked(makeSuspects(crashes), false, harmless);
		const third = makeSuspects([
			...crashes,
			{signature: crashing, incarnation: 'third'},
		]);
		expectBlocked(third, true);
		expectBlocked(third, false, harmless);
	});

	it('clears a request that was answered', () => {
		const suspects = makeSuspects(twoCrashes);
		suspects.clear(crashing);
		expectBlocked(suspects, false);
		assert.is(suspects.isEmpty, true);
	});

	it('forgets incidents after their lifetime', () => {
		const suspects = makeSuspects(twoCrashes);
		assert.is(suspects.isBlocked(crashing, 299_999), true);
		assert.is(suspects.isBlocked(crashing, 300_000), false);
		assert.is(suspects.isEmpty, true);
	});

	it('runs suspects one at a time and other requests freely', () => {
		const crashes = [
			{signature: crashing, incarnation: 'first'},
			{signature: harmless, incarnation: 'first'},
		];
		const suspects = makeSuspects(crashes);
		assert.is(suspects.begin(crashing, 0), true);
		assert.is(suspects.begin(harmless, 0), false);
		assert.is(suspects.begin(makeId<Digest>('other'), 0), true);
		suspects.end(crashing);
		assert.is(suspects.begin(harmless, 0), true);
	});

	it('blocks a request after one local crash and one that a peer reported', () => {
		const here = makeSuspects([twoCrashes[0]!]);
		const peer = makeSuspects([twoCrashes[1]!]);
		here.addSuspects(peer.getSuspects(10), 500);
		here.addSuspects(peer.getSuspects(20), 510);
		assert.is(here.isBlocked(crashing, 600), true);
		expectBlocked(makeSuspects([twoCrashes[0]!]), false);
	});

	it('limits the number of suspects', () => {
		const suspects = makeSuspects(twoCrashes);
		for (let index = 0; index < 1000; index++) {
			const signature = makeId<Digest>(`signature-${index}`);
			suspects.addIncident(signature, {
				incarnation: 'third',
				atMs: 0,
				isConfirmed: () => true,
			});
		}

		assert.is(suspects.getSuspects(0).length, 1000);
		expectBlocked(suspects, false);
	});
});
