/** Reads from a gateway host what the platform has published. */

import type {Clock} from '@bilberryscale/core';
import {PeerReader, type PublishedChanges} from '@bilberryscale/gateway';
import type {Result} from 'ts-results-es';

/** Reads all published items from the host at an `IP:PORT`; returns them, or why there are none. */
export type SnapshotFetcher = (
	address: string,
) => Promise<Result<PublishedChanges, string>>;

/** How long a response may take to begin, and to end after that while it makes no progress, in milliseconds. */
const responseTimeoutMs = 3000;

/**
 * Makes a fetcher that uses the protocol by which hosts read from each other.
 *
 * @param clock - The clock for the timeout.
 * @returns The fetcher.
 */
export function makeSnapshotFetcher(clock: Clock): SnapshotFetcher {
	return async (address) => {
		const reader = new PeerReader({
			clock,
			address,
			localAddress: address.startsWith('[') ? '::' : '0.0.0.0',
			onResponse: () => undefined,
			isFar: true,
			responseMarginMs: responseTimeoutMs,
			pace: {graceMs: responseTimeoutMs},
		});
		try {
			const result = await reader.readAll();
			return result.mapErr(({detail}) => detail);
		} finally {
			reader.close();
		}
	};
}
