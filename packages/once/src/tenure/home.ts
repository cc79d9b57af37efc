/** Chooses the home of a bucket among the members of a view. */

import {createHash} from 'node:crypto';
import type {HostId} from '@bilberryscale/core';
import type {Bucket} from './bucket.js';

/**
 * Gets the home of a bucket by rendezvous hashing.
 *
 * @param bucket - The bucket.
 * @param members - The members of this host's view, in any order.
 * @returns The home; undefined if there is no member.
 */
export function getHome(
	bucket: Bucket,
	members: readonly HostId[],
): HostId | undefined {
	let home: HostId | undefined;
	let highest = -1;
	for (const member of members) {
		const weight = getWeight(bucket, member);
		if (weight > highest) {
			highest = weight;
			home = member;
		}
	}

	return home;
}

function getWeight(bucket: Bucket, member: HostId): number {
	return createHash('sha256')
		.update(`${bucket}/${member}`)
		.digest()
		.readUIntBE(0, 6);
}
