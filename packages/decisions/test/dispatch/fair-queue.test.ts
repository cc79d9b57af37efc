/** Tests the fair sharing of a queue among caller classes. */

import {makeId, type CallerClass} from '@bilberryscale/core';
import {describe, it} from '@bilberryscale/testing';
import fc from 'fast-check';
import * as assert from 'uvu/assert';
import {FairQueue} from '../../src/index.js';
import {makeCall} from '../fixtures.js';

const reader = makeId<CallerClass>('reader');
const press = makeId<CallerClass>('press');
const farFutureMs = 1_000_000;

function makeQueue(readerWeight: number, pressWeight: number): FairQueue {
	return new FairQueue([
		{name: reader, weight: readerWeight},
		{name: press, weight: pressWeight},
	]);
}

function fill(queue: FairQueue, callerClass: CallerClass, count: number): void {
	for (let index = 0; index < count; index++) {
		queue.add(makeCall({callerClass}), 0, farFutureMs);
	}
}

describe('FairQueue', () => {
	it('serves classes in proportion to their weights, whatever their queue lengths', () => {
		const weight = fc.integer({min: 1, max: 8});
		const length = fc.integer({min: 100, max: 400});
		fc.assert(
			fc.property(
				weight,
				weight,
				length,
				length,
				(readerWeight, pressWeight, readerCount, pressCount) => {
					const queue = makeQueue(readerWeight, pressWeight);
					fill(queue, reader, readerCount);
					fill(queue, press, pressCount);
					const turns = Array.from({length: 90}, () => queue.shift()!);
					const readers = turns.filter((call) => call.callerClass === reader);
					const expected =
						(turns.length * readerWeight) / (readerWeight + pressWeight);
					assert.ok(Math.abs(readers.length - expected) <= 2);
				},
			),
			{seed: 1},
		);
	});

	it('serves a class that starts late at once, without credit for its idle time', () => {
		const queue = makeQueue(1, 1);
		fill(queue, press, 100);
		for (let turn = 0; turn < 50; turn++) {
			queue.shift();
		}

		fill(queue, reader, 10);
		const turns = Array.from({length: 10}, () => queue.shift()!.callerClass);
		const readers = turns.filter((name) => name === reader).length;
		assert.ok(readers >= 4 && readers <= 6, String(readers));
	});

	it('evicts from the class with the most calls relative to its weight', () => {
		const queue = makeQueue(1, 1);
		fill(queue, press, 7);
		fill(queue, reader, 1);
		assert.is(queue.evictFor(reader)?.callerClass, press);
		assert.is(queue.evictFor(press), undefined);
		assert.is(queue.size, 7);
	});

	it('counts only the calls served before a new call of the class', () => {
		const queue = makeQueue(1, 1);
		fill(queue, press, 100);
		assert.is(queue.countAhead(reader), 1);
		assert.is(queue.countAhead(press), 100);
	});

	it('expires calls in the order of their expiry times', () => {
		const queue = makeQueue(1, 1);
		const late = makeCall();
		const early = makeCall();
		const removed = makeCall();
		queue.add(late, 0, 30);
		queue.add(early, 0, 10);
		queue.add(removed, 0, 5);
		queue.remove(removed);
		assert.is(queue.getNextExpiryMs(), 10);
		assert.is(queue.takeExpired(9), undefined);
		assert.is(queue.takeExpired(10), early);
		assert.is(queue.shift(), late);
		assert.is(queue.getNextExpiryMs(), undefined);
	});
});
