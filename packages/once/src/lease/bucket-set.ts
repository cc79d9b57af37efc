/** A set of buckets and its encoding as a bit mask. */

import {Buffer} from 'node:buffer';
import {allBuckets, bucketCount, type Bucket} from './bucket.js';

const bitsPerByte = 8;
const byteCount = bucketCount / bitsPerByte;

/** An immutable set of buckets. */
export class BucketSet {
	static readonly empty = new BucketSet([]);
	readonly #buckets: ReadonlySet<Bucket>;

	/**
	 * @param buckets - The members of the set.
	 */
	constructor(buckets: Iterable<Bucket>) {
		this.#buckets = new Set(buckets);
	}

	/**
	 * Decodes a set from its bit mask.
	 *
	 * @param text - The mask in hexadecimal; missing bytes count as zero.
	 * @returns The set.
	 */
	static fromHex(text: string): BucketSet {
		const bytes = Buffer.from(text, 'hex');
		return new BucketSet(allBuckets.filter((bucket) => hasBit(bytes, bucket)));
	}

	/** Gets the number of members. */
	get size(): number {
		return this.#buckets.size;
	}

	/**
	 * Checks whether a bucket is in the set.
	 *
	 * @param bucket - The bucket.
	 * @returns Whether the set contains it.
	 */
	has(bucket: Bucket): boolean {
		return this.#buckets.has(bucket);
	}

	/** Gets the members. */
	getBuckets(): Bucket[] {
		return [...this.#buckets];
	}

	/** Encodes the set as a hexadecimal bit mask; empty for the empty set. */
	toHex(): string {
		if (this.size === 0) {
			return '';
		}

		const bytes = Buffer.alloc(byteCount);
		for (const bucket of this.#buckets) {
			bytes[getByteIndex(bucket)]! += getBitValue(bucket);
		}

		return bytes.toString('hex');
	}
}

function hasBit(bytes: Buffer, bucket: Bucket): boolean {
	const byte = bytes[getByteIndex(bucket)] ?? 0;
	return Math.floor(byte / getBitValue(bucket)) % 2 === 1;
}

function getByteIndex(bucket: Bucket): number {
	return Math.floor(bucket / bitsPerByte);
}

function getBitValue(bucket: Bucket): number {
	return 2 ** (bucket % bitsPerByte);
}
