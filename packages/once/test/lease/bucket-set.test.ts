/** The encoding of a set of buckets. */

import {makeId} from '@bilberryscale/core';
import {describe, it} from '@bilberryscale/testing';
import fc from 'fast-check';
import * as assert from 'uvu/assert';
import {BucketSet, type Bucket} from '../../src/index.js';

describe('BucketSet', () => {
	it('decodes what it encoded', () => {
		const numbers = fc.uniqueArray(fc.nat(255));
		const property = fc.property(numbers, (members) => {
			const set = new BucketSet(members.map((item) => makeId<Bucket>(item)));
			const read = BucketSet.fromHex(set.toHex()).getBuckets();
			assert.equal(
				read,
				members.toSorted((a, b) => a - b),
			);
		});
		fc.assert(property, {seed: 3});
	});
});
