/** Tests the heap and the indexed set against simple models. */

import {describe, it} from '@bilberryscale/testing';
import fc from 'fast-check';
import * as assert from 'uvu/assert';
import {BinaryHeap} from '../../src/utils/binary-heap.js';
import {IndexedSet} from '../../src/utils/indexed-set.js';

const seed = 1;

describe('BinaryHeap', () => {
	it('pops items in the order of their keys', () => {
		fc.assert(
			fc.property(fc.array(fc.integer()), (values) => {
				const heap = new BinaryHeap<number>((value) => value);
				for (const value of values) {
					heap.push(value);
				}

				const popped = values.map(() => heap.pop());
				assert.equal(
					popped,
					values.toSorted((a, b) => a - b),
				);
			}),
			{seed},
		);
	});
});

describe('IndexedSet', () => {
	it('behaves like a set', () => {
		const step = fc.record({isAdd: fc.boolean(), item: fc.nat(9)});
		fc.assert(
			fc.property(fc.array(step), (steps) => {
				const indexed = new IndexedSet<number>();
				const model = new Set<number>();
				for (const {isAdd, item} of steps) {
					if (isAdd) {
						indexed.add(item);
						model.add(item);
					} else {
						assert.is(indexed.remove(item), model.delete(item));
					}

					assert.equal(
						indexed.items.toSorted((a, b) => a - b),
						[...model].toSorted((a, b) => a - b),
					);
				}
			}),
			{seed},
		);
	});
});
