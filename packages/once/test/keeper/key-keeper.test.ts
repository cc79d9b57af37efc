/** The decisions on a key. */

import {Buffer} from 'node:buffer';
import {makeId, makeSeededRandom, type HostId} from '@bilberryscale/core';
import {describe, it} from '@bilberryscale/testing';
import * as assert from 'uvu/assert';
import {
	BucketSet,
	FleetClock,
	KeyKeeper,
	KeyMaker,
	RecordBook,
	TenureHolder,
	allBuckets,
	usualPolicy,
	type Bucket,
	type KeyDecision,
	type RunEnd,
} from '../../src/index.js';

const host = makeId<HostId>('alone');
const bucket = makeId<Bucket>(3);
const maker = new KeyMaker(makeSeededRandom(2));
const answer = {status: 201, headers: {}, body: Buffer.from('done')};
const grantedAtMs = 1000;
const nowMs = 3000;

function makeKeeper(totalBytes = 1e6): KeyKeeper {
	const holder = new TenureHolder(usualPolicy);
	holder.setPublished([host], 0);
	const buckets = new BucketSet(allBuckets.slice(0, 8));
	const grants = {grantor: host, sequence: 1, sentAtMs: grantedAtMs, buckets};
	holder.addGrants(grants, grantedAtMs);
	return new KeyKeeper({
		policy: usualPolicy,
		holder,
		records: new RecordBook({totalBytes, answerBytes: 1000}),
		fleetClock: new FleetClock(1e12),
	});
}

function describeDecision(decision: KeyDecision): string {
	return decision.kind === 'refuse'
		? `${decision.failure.kind} ${decision.failure.ran}`
		: decision.kind;
}

describe('KeyKeeper', () => {
	describe('begin', () => {
		const doTest = (
			name: string,
			input: {
				keyMs: number;
				atMs?: number;
				of?: Bucket;
				bytes?: number;
				isNew?: boolean;
			},
			expected: string,
		) => {
			it(name, () => {
				const {keyMs, atMs = nowMs, of = bucket, bytes, isNew = false} = input;
				const key = maker.make(1e12 + keyMs, of);
				const decision = makeKeeper(bytes).begin(
					{key, fingerprint: 'same', isNew},
					atMs,
				);
				assert.is(describeDecision(decision), expected);
			});
		};

		const other = makeId<Bucket>(9);
		doTest('runs a new key', {keyMs: 2500}, 'run');
		doTest('of another bucket', {keyMs: 2500, of: other}, 'no-tenure unknown');
		doTest('after the lease', {keyMs: 6800, atMs: 6800}, 'no-tenure unknown');
		doTest('as old as the tenure', {keyMs: 2000}, 'key-too-old unknown');
		doTest('just younger than that', {keyMs: 2001}, 'run');
		doTest('as old, but made here', {keyMs: 2000, isNew: true}, 'run');
		doTest('ahead of time', {keyMs: 3501}, 'key-from-future not-run');
		doTest('of hours ago', {keyMs: -7e6}, 'key-too-old unknown');
		doTest('full', {keyMs: 2500, bytes: 100}, 'records-full not-run');
	});

	describe('begin again', () => {
		const doTest = (
			name: string,
			end: RunEnd | undefined,
			fingerprint: string,
			expected: string,
		) => {
			it(name, () => {
				const keeper = makeKeeper();
				const key = maker.make(1e12 + 2500, bucket);
				keeper.begin({key, fingerprint: 'same', isNew: false}, nowMs);
				if (end !== undefined) {
					keeper.finish(key, end);
				}

				const decision = keeper.begin({key, fingerprint, isNew: false}, nowMs);
				assert.is(describeDecision(decision), expected);
			});
		};

		const answered = {kind: 'answered', answer} as const;
		doTest('while it runs', undefined, 'same', 'still-running unknown');
		doTest('after an answer', answered, 'same', 'replay');
		doTest('after not-run', {kind: 'not-run'}, 'same', 'run');
		doTest(
			'after unknown',
			{kind: 'unknown'},
			'same',
			'outcome-unknown unknown',
		);
		doTest('as another request', answered, 'other', 'key-conflict unknown');
	});
});
