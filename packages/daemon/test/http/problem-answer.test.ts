import {makeId, notRunFailure, type RequestId} from '@bilberryscale/core';
import {describe, it} from '@bilberryscale/testing';
import * as assert from 'uvu/assert';
import {getProblemAnswer} from '../../src/http/problem-answer.js';

const requestId = makeId<RequestId>('r-1');

describe('getProblemAnswer', () => {
	it('states the retry delay of the response table by default', () => {
		const failure = notRunFailure('over-capacity', 'full');
		const {headers, body} = getProblemAnswer(failure, requestId);
		assert.is(headers['retry-after'], '1');
		assert.match(body.toString(), '"retryAfterMs":1000');
	});

	it('states no retry delay if no retry can succeed', () => {
		const failure = notRunFailure('over-capacity', 'full');
		const {status, headers, body} = getProblemAnswer(
			{...failure, isRetryFutile: true},
			requestId,
		);
		assert.is(status, 503);
		assert.is(headers['retry-after'], undefined);
		assert.not.match(body.toString(), 'retryAfterMs');
	});
});
