/** Which keys a host runs, replays or refuses. */

import {Buffer} from 'node:buffer';
import {makeId, makeSeededRandom, type HostId} from '@bilberryscale/core';
import {describe, it} from '@bilberryscale/testing';
import * as assert from 'uvu/assert';
import {
	BucketSet,
	FleetClock,
	IdempotencyGuard,
	KeyGenerator,
	KeyRecordStore,
	LeaseHolder,
	allBuckets,
	defaultLeasePolicy,
	type Bucket,
	type KeyDecision,
	type RunOutcome,
} from '../../src/index.js';

const host = makeId<HostId>('alone');
const bucket = makeId<Bucket>(3);
const generator = new KeyGenerator(makeSeededRandom(2));
const answer = {status: 201, headers: {}, body: Buffer.from('done')};
const grantedAtMs = 1000;
const nowMs = 3000;

function createGuard(maxTotalBytes = 1e6): IdempotencyGuard {
	const holder = new LeaseHolder(defaultLeasePolicy);
	holder.setPublishedHosts([host], 0);
	const buckets = new BucketSet(allBuckets.slice(0, 8));
	const grants = {grantor: host, sequence: 1, sentAtMs: grantedAtMs, buckets};
	holder.addGrants(grants, grantedAtMs);
	return new IdempotencyGuard({
		policy: defaultLeasePolicy,
		holder,
		records: new KeyRecordStore({maxTotalBytes, maxAnswerBytes: 1000}),
		fleetClock: new FleetClock(1e12),
	});
}

function describeDecision(decision: KeyDecision): string {
	return decision.kind === 'refuse'
		? `${decision.failure.kind} ${decision.failure.ran}`
		: decision.kind;
}

describe('IdempotencyGuard', () => {
	describe('begin', () => {
		const doTest = (
			name: string,
			input: {
				keyMs: number;
				atMs?: number;
				keyBucket?: Bucket;
				maxTotalBytes?: number;
				isNew?: boolean;
			},
			expected: string,
		) => {
			it(name, () => {
				const {
					keyMs,
					atMs = nowMs,
					keyBucket = bucket,
					maxTotalBytes,
					isNew = false,
				} = input;
				const key = generator.generate(1e12 + keyMs, keyBucket);
				const decision = createGuard(maxTotalBytes).begin(
					{key, fingerprint: 'same', isNew},
					atMs,
				);
				assert.is(describeDecision(decision), expected);
			});
		};

		const otherBucket = makeId<Bucket>(9);
		doTest('runs a new key', {keyMs: 2500}, 'run');
		doTest(
			'refuses a key of a bucket that it does not hold',
			{keyMs: 2500, keyBucket: otherBucket},
			'no-tenure unknown',
		);
		doTest(
			'refuses a key after the lease has expired',
			{keyMs: 6800, atMs: 6800},
			'no-tenure unknown',
		);
		doTest(
			'refuses a key that may predate the lease',
			{keyMs: 2000},
			'key-too-old unknown',
		);
		doTest(
			'runs the oldest key that cannot predate the lease',
			{keyMs: 2001},
			'run',
		);
		doTest(
			'runs a key that may predate the lease if this host generated it',
			{keyMs: 2000, isNew: true},
			'run',
		);
		doTest(
			'refuses a key from the future',
			{keyMs: 3501},
			'key-from-future not-run',
		);
		doTest(
			'refuses a key older than the maximum age',
			{keyMs: -7e6},
			'key-too-old unknown',
		);
		doTest(
			'refuses a key when the records are full',
			{keyMs: 2500, maxTotalBytes: 100},
			'records-full not-run',
		);
	});

	describe('begin with a known key', () => {
		const doTest = (
			name: string,
			outcome: RunOutcome | undefined,
			fingerprint: string,
			expected: string,
		) => {
			it(name, () => {
				const guard = createGuard();
				const key = generator.generate(1e12 + 2500, bucket);
				guard.begin({key, fingerprint: 'same', isNew: false}, nowMs);
				if (outcome !== undefined) {
					guard.finish(key, outcome);
				}

				const decision = guard.begin({key, fingerprint, isNew: false}, nowMs);
				assert.is(describeDecision(decision), expected);
			});
		};

		const answered = {kind: 'answered', answer} as const;
		doTest(
			'refuses it while it runs',
			undefined,
			'same',
			'still-running unknown',
		);
		doTest('replays a stored answer', answered, 'same', 'replay');
		doTest('runs it again after not-run', {kind: 'not-run'}, 'same', 'run');
		doTest(
			'refuses it after an unknown outcome',
			{kind: 'unknown'},
			'same',
			'outcome-unknown unknown',
		);
		doTest(
			'refuses it for a different request',
			answered,
			'other',
			'key-conflict unknown',
		);
	});
});
