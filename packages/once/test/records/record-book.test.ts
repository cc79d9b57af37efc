/** The bounds of the records. */

import {Buffer} from 'node:buffer';
import {makeId, type IdempotencyKey} from '@bilberryscale/core';
import {describe, it} from '@bilberryscale/testing';
import * as assert from 'uvu/assert';
import {RecordBook} from '../../src/index.js';

const key = (name: string) => makeId<IdempotencyKey>(name);
const bounds = {totalBytes: 4000, answerBytes: 1000};

describe('RecordBook', () => {
	const answer = (bodyBytes: number) => ({
		kind: 'answered' as const,
		answer: {status: 200, headers: {}, body: Buffer.alloc(bodyBytes)},
	});

	it('takes no key when full and forgets none for it', () => {
		const book = new RecordBook(bounds);
		assert.ok(book.begin(key('a'), 'f', 1));
		assert.ok(book.begin(key('b'), 'f', 1));
		assert.not(book.begin(key('c'), 'f', 1));
		assert.is(book.size, 2);
	});

	it('gives back the room that an answer did not need', () => {
		const book = new RecordBook(bounds);
		for (const name of ['a', 'b', 'c']) {
			assert.ok(book.begin(key(name), 'f', 1), name);
			book.finish(key(name), answer(10));
		}
	});

	it('keeps no answer over its bound', () => {
		const book = new RecordBook(bounds);
		book.begin(key('a'), 'f', 1);
		book.finish(key('a'), answer(2000));
		assert.is(book.get(key('a'))?.state.kind, 'unknown');
	});

	it('forgets ended records of old keys, never running ones', () => {
		const book = new RecordBook(bounds);
		book.begin(key('running'), 'f', 5);
		book.begin(key('ended'), 'f', 5);
		book.finish(key('ended'), {kind: 'unknown'});
		book.forgetBefore(5);
		assert.is(book.size, 2);
		book.forgetBefore(6);
		assert.is(book.get(key('ended')), undefined);
		assert.is(book.get(key('running'))?.state.kind, 'running');
	});
});
