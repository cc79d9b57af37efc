import {Buffer} from 'node:buffer';
import {describe, it} from '@bilberryscale/testing';
import * as assert from 'uvu/assert';
import {ByteCollector} from '../../src/buffers/byte-collector.js';

function collect(pieceLength: number, count: number): ByteCollector {
	const collector = new ByteCollector();
	for (let index = 0; index < count; index++) {
		// As a parser cuts pieces from what was read.
		const read = Buffer.alloc(pieceLength * 16, index % 251);
		collector.add(read.subarray(0, pieceLength));
	}

	return collector;
}

describe('ByteCollector', () => {
	describe('cost', () => {
		// A piece of one byte held its read buffer and an object, thousands of times its length.
		function doTest(pieceLength: number, count: number): void {
			it(`stays below three times the length and 2 KiB: ${count} pieces of ${pieceLength} bytes`, () => {
				const collector = collect(pieceLength, count);
				assert.is(collector.length, pieceLength * count);
				const maxCost = 3 * collector.length + 2048;
				assert.ok(collector.cost <= maxCost, `${collector.cost}`);
			});
		}

		doTest(1, 1);
		doTest(1, 100_000);
		doTest(10, 5000);
		doTest(1000, 100);
		doTest(20_000, 10);
	});

	describe('take', () => {
		it('gives all bytes in order, and then none', () => {
			const collector = new ByteCollector();
			const pieces = ['a', 'b'.repeat(5000), 'c', 'd'.repeat(300), 'e'];
			for (const piece of pieces) {
				collector.add(Buffer.from(piece));
			}

			assert.is(collector.take().toString(), pieces.join(''));
			assert.is(collector.length, 0);
			assert.is(collector.cost, 0);
			assert.is(collector.take().length, 0);
		});

		it('gives a single large piece without a copy', () => {
			const collector = new ByteCollector();
			const piece = Buffer.alloc(5000);
			collector.add(piece);
			assert.is(collector.take(), piece);
		});
	});

	// A long body was copied as a whole before it went on, so that it was held twice.
	describe('takeParts', () => {
		it('gives large pieces as they are, in order with the small ones', () => {
			const collector = new ByteCollector();
			const large = Buffer.alloc(5000, 'b');
			collector.add(Buffer.from('a'));
			collector.add(large);
			collector.add(Buffer.from('c'));
			const parts = collector.takeParts();
			assert.is(parts[1], large);
			assert.is(parts.join(''), `a${'b'.repeat(5000)}c`);
			assert.is(collector.cost, 0);
		});
	});
});
