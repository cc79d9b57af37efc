import {Buffer} from 'node:buffer';
import {Readable} from 'node:stream';
import {processByteBudget} from '@bilberryscale/daemon/edge';
import {describe, it} from '@bilberryscale/testing';
import * as assert from 'uvu/assert';
import {collectBody} from '../../src/relay/collect-body.js';

const length = 200_000;

/** Collects a body; returns whether it came whole or as a stream, and its bytes. */
async function collect(canStreamEarly: boolean, maxBytes?: number) {
	const body = Readable.from(
		Array.from({length: 20}, (_, index) => Buffer.alloc(length / 20, index)),
		{objectMode: false},
	);
	return new Promise<{readonly kind: string; readonly bytes: Buffer}>(
		(resolve) => {
			collectBody(body, {
				onComplete(bytes) {
					resolve({kind: 'whole', bytes});
				},
				onOversized(stream) {
					void (async () => {
						const parts = await (
							stream as Readable & AsyncIterable<Buffer>
						).toArray();
						resolve({kind: 'stream', bytes: Buffer.concat(parts as Buffer[])});
					})();
				},
				canStreamEarly,
				...(maxBytes !== undefined && {maxBytes}),
			});
		},
	);
}

describe('collectBody', () => {
	function doTest(
		name: string,
		input: {
			readonly canStreamEarly: boolean;
			readonly isScarce: boolean;
			readonly maxBytes?: number;
		},
		expected: 'whole' | 'stream',
	): void {
		it(name, async () => {
			const other = processByteBudget.lease(() => undefined);
			other.add(input.isScarce ? processByteBudget.limitBytes * 0.6 : 0);
			try {
				const {kind, bytes} = await collect(
					input.canStreamEarly,
					input.maxBytes,
				);
				assert.is(kind, expected);
				assert.is(bytes.length, length);
				assert.is(bytes.at(-1), 19);
			} finally {
				other.release();
			}
		});
	}

	doTest(
		'gives a body within the limit whole',
		{canStreamEarly: true, isScarce: false},
		'whole',
	);
	doTest(
		'streams a body over the limit',
		{canStreamEarly: false, isScarce: false, maxBytes: 100_000},
		'stream',
	);
	doTest(
		'streams a body early while memory is scarce',
		{canStreamEarly: true, isScarce: true},
		'stream',
	);
	doTest(
		'collects one that must be whole all the same',
		{canStreamEarly: false, isScarce: true},
		'whole',
	);
});
