/** Selects the member of the fleet that should own the keys of a bucket. */

import {createHash} from 'node:crypto';
import type {HostId} from '@bilberryscale/core';
import type {Bucket} from './bucket.js';

/**
 * Selects the owner of a bucket by rendezvous hashing.
 *
 * @param bucket - The bucket.
 * @param members - The members of the fleet as this host sees it, in any order.
 * @returns The owner, or undefined if there is no member.
 */
export function selectKeyOwner(
	bucket: Bucket,
	members: readonly HostId[],
): HostId | undefined {
	let owner: HostId | undefined;
	let highestWeight = -1;
	for (const member of members) {
		const weight = getWeight(bucket, member);
		if (weight > highestWeight) {
			highestWeight = weight;
			owner = member;
		}
	}

	return owner;
}

function getWeight(bucket: Bucket, member: HostId): number {
	return createHash('sha256')
		.update(`${bucket}/${member}`)
		.digest()
		.readUIntBE(0, 6);
}
