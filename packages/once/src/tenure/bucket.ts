/** The shares into which all keys are divided. */

import {makeId, type Branded, type IdempotencyKey} from '@bilberryscale/core';
import {UUID} from 'uuidv7';

/** The number of a share of the keys. */
export type Bucket = Branded<number, 'Bucket'>;

/** How many buckets there are; one byte of a key names its bucket. */
export const bucketCount = 256;

/** All buckets in order. */
export const allBuckets: readonly Bucket[] = Array.from(
	{length: bucketCount},
	(_, index) => makeId<Bucket>(index),
);

/**
 * Gets the bucket of a key: its last byte, which is random.
 *
 * @param key - The key.
 * @returns The bucket.
 */
export function getBucket(key: IdempotencyKey): Bucket {
	return makeId<Bucket>(UUID.parse(key).bytes.at(-1)!);
}
