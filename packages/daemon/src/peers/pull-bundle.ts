/** Fetches a newer bundle from a peer. */

import type {HostId} from '@bilberryscale/core';
import type {BundleStore} from '../bundle-store/bundle-store.js';
import type {Log} from '../logging/make-logger.js';

/** The dependencies of `pullBundle`. */
export type BundlePullOptions = {
	/** The peer that announced a newer bundle. */
	readonly host: HostId;
	readonly store: BundleStore;
	readonly log: Log;
	/** Requests a text from the peer; undefined if the request fails or the peer lacks it. */
	readonly fetchText: (
		method: string,
		message: object,
	) => Promise<string | undefined>;
};

/**
 * Fetches the manifest and the missing parts and offers them to the store,
 * which verifies them.
 *
 * @param options - The peer, the store and how to fetch from the peer.
 */
export async function pullBundle(options: BundlePullOptions): Promise<void> {
	const {host, store, fetchText, log} = options;
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
