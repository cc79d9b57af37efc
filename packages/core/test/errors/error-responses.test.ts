import {describe, it} from '@bilberryscale/testing';
import * as assert from 'uvu/assert';
import {errorResponses, errorKinds} from '../../src/index.js';

const serviceUnavailable = 503;

describe('errorResponses', () => {
	it('has an entry for each error kind and no others', () => {
		assert.equal(Object.keys(errorResponses).toSorted(), errorKinds.toSorted());
	});

	it('maps each kind to an error status', () => {
		for (const kind of errorKinds) {
			const {status} = errorResponses[kind];
			assert.ok(status >= 400 && status < 600, `${kind}: ${status}`);
		}
	});

	it('sets retryAfterMs for each kind with status 503', () => {
		for (const kind of errorKinds) {
			const {status, retryAfterMs} = errorResponses[kind];
			assert.ok(
				status !== serviceUnavailable || retryAfterMs !== undefined,
				kind,
			);
		}
	});
});
