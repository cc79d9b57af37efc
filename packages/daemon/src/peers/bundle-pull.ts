/** Takes a newer bundle from a peer. */

import type {HostId} from '@bilberryscale/core';
import type {BundleStore} from '../bundle-store/bundle-store.js';
import type {Log} from '../logging/make-logger.js';

/** What a pull works with. */
export type BundlePull = {
	/** The peer that has the newer one. */
	readonly host: HostId;
	readonly store: BundleStore;
	readonly log: Log;
	/** Asks the peer for a text; undefined if it cannot be had. */
	readonly fetchText: (
		method: string,
		message: object,
	) => Promise<string | undefined>;
};

/**
 * Fetches the manifest and the missing parts and offers them to the store.
 *
 * @param pull - The peer and the store.
 */
export async function pullBundle(pull: BundlePull): Promise<void> {
	const {host, store, fetchText, log} = pull;
	const manifest = await fetchText('manifest', {});
	if (manifest === undefined) {
		return;
	}

	const adopted = await store.adoptText(
		manifest,
		`peer ${host}`,
		async (digest) => fetchText('part', {digest}),
	);
	if (adopted.isErr()) {
		log.warn('bundle of a peer refused', {host, ...adopted.error});
	}
}
