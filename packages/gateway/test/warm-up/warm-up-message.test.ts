import {makeId, type ServiceName, type TargetId} from '@bilberryscale/core';
import {describe, it} from '@bilberryscale/testing';
import * as assert from 'uvu/assert';
import {
	decodeWarmUpMessage,
	encodeWarmUpParameters,
	type WarmUpMessage,
} from '../../src/warm-up/warm-up-message.js';

describe('messages about the limits of cold targets', () => {
	function doTest(message: WarmUpMessage): void {
		it(`are read as they were written: ${message.method}`, () => {
			const parameters = encodeWarmUpParameters(message);
			assert.equal(decodeWarmUpMessage(message.method, parameters), message);
		});
	}

	doTest({
		method: 'warm-up-permit',
		requestNumber: 7,
		service: makeId<ServiceName>('reading'),
		target: makeId<TargetId>('i-1'),
	});
	doTest({
		method: 'warm-up-permit-reply',
		requestNumber: 7,
		isGranted: false,
		retryAfterMs: 12,
	});

	// Guards against a malformed datagram that is taken for a permit.
	describe('are dropped if malformed', () => {
		function doTestDropped(method: string, parameters: readonly unknown[]) {
			it(`${method} ${JSON.stringify(parameters)}`, () => {
				assert.is(decodeWarmUpMessage(method, parameters), undefined);
			});
		}

		doTestDropped('warm-up-permit', []);
		doTestDropped('warm-up-permit', ['7', 's', 'i']);
		doTestDropped('warm-up-permit', [7, 's']);
		doTestDropped('warm-up-permit-reply', [7, 1, 0]);
		doTestDropped('warm-up-permit-reply', [7, true]);
		doTestDropped('warm-up-permit-reply', [7, true, -1]);
		doTestDropped('warm-up', [7, true, 0]);
	});
});
