/** The buckets into which the idempotency keys are partitioned. */

import {makeId, type Branded, type IdempotencyKey} from '@bilberryscale/core';
import {UUID} from 'uuidv7';

/** The number of a bucket; a host holds a lease for all keys of a bucket. */
export type Bucket = Branded<number, 'Bucket'>;

/** The number of buckets; the bucket of a key is one of its bytes. */
export const bucketCount = 256;

/** All buckets in order. */
export const allBuckets: readonly Bucket[] = Array.from(
	{length: bucketCount},
	(_, index) => makeId<Bucket>(index),
);

/**
 * Gets the bucket of a key: its last byte, which is random in a UUIDv7.
 *
 * @param key - The key.
 * @returns The bucket.
 */
export function getBucket(key: IdempotencyKey): Bucket {
	return makeId<Bucket>(UUID.parse(key).bytes.at(-1)!);
}
