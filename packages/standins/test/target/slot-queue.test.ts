import {describe, it} from '@bilberryscale/testing';
import * as assert from 'uvu/assert';
import {SlotQueue} from '../../src/target/slot-queue.js';

describe('SlotQueue', () => {
	const neverAborted = new AbortController().signal;

	it('refuses a request when the slots and the queue are full', async () => {
		const queue = new SlotQueue(1, 1);
		assert.is(await queue.acquire(neverAborted), 'taken');
		const second = queue.acquire(neverAborted);
		assert.is(await queue.acquire(neverAborted), 'refused');
		queue.release();
		assert.is(await second, 'taken');
		assert.is(queue.running, 1);
	});

	it('removes a queued request when its caller disconnects', async () => {
		const queue = new SlotQueue(1, 1);
		const controller = new AbortController();
		await queue.acquire(neverAborted);
		const waiting = queue.acquire(controller.signal);
		controller.abort();
		assert.is(await waiting, 'withdrawn');
		assert.is(queue.inFlight, 1);
	});
});
