/** Requests that crash targets. */

import {makeId, type Digest} from '@bilberryscale/core';
import {describe, it} from '@bilberryscale/testing';
import * as assert from 'uvu/assert';
import {CrashSuspects} from '../../src/index.js';

const killer = makeId<Digest>('killer');
const innocent = makeId<Digest>('innocent');

type Crash = {readonly signature: Digest; readonly life: string};

function suspect(crashes: readonly Crash[], hasEnded = true): CrashSuspects {
	const suspects = new CrashSuspects();
	for (const {signature, life} of crashes) {
		const incident = {life, atMs: 0, hasEnded: () => hasEnded};
		suspects.addIncident(signature, incident);
	}

	return suspects;
}

const twoCrashes = [
	{signature: killer, life: 'first'},
	{signature: killer, life: 'second'},
];

describe('CrashSuspects', () => {
	const doTest = (
		suspects: CrashSuspects,
		expected: boolean,
		signature = killer,
	) => {
		assert.is(suspects.isBarred(signature, 0), expected);
	};

	it('bars a request under which two lives ended', () => {
		doTest(suspect(twoCrashes), true);
	});

	it('does not bar after one crash, however often it is told', () => {
		doTest(suspect([twoCrashes[0]!, twoCrashes[0]!]), false);
	});

	it('does not take broken connections for crashes', () => {
		doTest(suspect(twoCrashes, false), false);
	});

	it('does not bar who was there at one of the two crashes', () => {
		const crashes = [...twoCrashes, {signature: innocent, life: 'second'}];
		doTest(suspect(crashes), true);
		doTest(suspect(crashes), false, innocent);
	});

	it('bars neither of two that were there at both, until one is alone', () => {
		const other = twoCrashes.map(({life}) => ({signature: innocent, life}));
		const crashes = [...twoCrashes, ...other];
		doTest(suspect(crashes), false);
		doTest(suspect(crashes), false, innocent);
		const third = suspect([...crashes, {signature: killer, life: 'third'}]);
		doTest(third, true);
		doTest(third, false, innocent);
	});

	it('clears a request that was answered', () => {
		const suspects = suspect(twoCrashes);
		suspects.clear(killer);
		doTest(suspects, false);
		assert.is(suspects.isEmpty, true);
	});

	it('forgets after a time', () => {
		const suspects = suspect(twoCrashes);
		assert.is(suspects.isBarred(killer, 299_999), true);
		assert.is(suspects.isBarred(killer, 300_000), false);
		assert.is(suspects.isEmpty, true);
	});

	it('runs suspects one at a time and others freely', () => {
		const crashes = [
			{signature: killer, life: 'first'},
			{signature: innocent, life: 'first'},
		];
		const suspects = suspect(crashes);
		assert.is(suspects.begin(killer, 0), true);
		assert.is(suspects.begin(innocent, 0), false);
		assert.is(suspects.begin(makeId<Digest>('other'), 0), true);
		suspects.end(killer);
		assert.is(suspects.begin(innocent, 0), true);
	});

	it('bars what crashed one target here and one through a peer', () => {
		const here = suspect([twoCrashes[0]!]);
		const peer = suspect([twoCrashes[1]!]);
		here.addSuspects(peer.getSuspects(10), 500);
		here.addSuspects(peer.getSuspects(20), 510);
		assert.is(here.isBarred(killer, 600), true);
		doTest(suspect([twoCrashes[0]!]), false);
	});

	it('keeps a bounded number of suspects', () => {
		const suspects = suspect(twoCrashes);
		for (let index = 0; index < 1000; index++) {
			const signature = makeId<Digest>(`signature-${index}`);
			suspects.addIncident(signature, {
				life: 'third',
				atMs: 0,
				hasEnded: () => true,
			});
		}

		assert.is(suspects.getSuspects(0).length, 1000);
		doTest(suspects, false);
	});
});
