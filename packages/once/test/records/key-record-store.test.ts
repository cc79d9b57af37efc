/** The limits of the records. */

import {Buffer} from 'node:buffer';
import {makeId, type IdempotencyKey} from '@bilberryscale/core';
import {describe, it} from '@bilberryscale/testing';
import * as assert from 'uvu/assert';
import {KeyRecordStore} from '../../src/index.js';

const key = (name: string) => makeId<IdempotencyKey>(name);
const limits = {maxTotalBytes: 4000, maxAnswerBytes: 1000};

describe('KeyRecordStore', () => {
	const answer = (bodyBytes: number) => ({
		kind: 'answered' as const,
		answer: {status: 200, headers: {}, body: Buffer.alloc(bodyBytes)},
	});

	it('refuses a key when full instead of evicting another', () => {
		const store = new KeyRecordStore(limits);
		assert.ok(store.begin(key('a'), 'f', 1));
		assert.ok(store.begin(key('b'), 'f', 1));
		assert.not(store.begin(key('c'), 'f', 1));
		assert.is(store.size, 2);
	});

	it('frees the reserved space that an answer did not use', () => {
		const store = new KeyRecordStore(limits);
		for (const name of ['a', 'b', 'c']) {
			assert.ok(store.begin(key(name), 'f', 1), name);
			store.finish(key(name), answer(10));
		}
	});

	it('does not store an answer over the size limit', () => {
		const store = new KeyRecordStore(limits);
		store.begin(key('a'), 'f', 1);
		store.finish(key('a'), answer(2000));
		assert.is(store.get(key('a'))?.state.kind, 'unknown');
	});

	it('removes finished records of old keys, but not running ones', () => {
		const store = new KeyRecordStore(limits);
		store.begin(key('running'), 'f', 5);
		store.begin(key('ended'), 'f', 5);
		store.finish(key('ended'), {kind: 'unknown'});
		store.removeOlderThan(5);
		assert.is(store.size, 2);
		store.removeOlderThan(6);
		assert.is(store.get(key('ended')), undefined);
		assert.is(store.get(key('running'))?.state.kind, 'running');
	});
});
