import {describe, it} from '@bilberryscale/testing';
import * as assert from 'uvu/assert';
import {answerTable, errorKinds} from '../../src/index.js';

const unavailable = 503;

describe('answerTable', () => {
	it('has a row for each error kind and no other', () => {
		assert.equal(Object.keys(answerTable).toSorted(), errorKinds.toSorted());
	});

	it('answers each kind with an error status', () => {
		for (const kind of errorKinds) {
			const {status} = answerTable[kind];
			assert.ok(status >= 400 && status < 600, `${kind}: ${status}`);
		}
	});

	it('says when to come back wherever the service is unavailable', () => {
		for (const kind of errorKinds) {
			const {status, retryAfterMs} = answerTable[kind];
			assert.ok(status !== unavailable || retryAfterMs !== undefined, kind);
		}
	});
});
