/** The client accounts that may send requests, with their keys and rate limits. */

import type {Branded, Digest} from '@bilberryscale/core';

/** The name by which targets, logs and metrics refer to a client account. */
export type ClientAccountName = Branded<string, 'ClientAccountName'>;

/** A client account of the routing plan. */
export type ClientAccount = {
	readonly name: ClientAccountName;
	/** The SHA-256 digests of its keys; the keys themselves are not kept. */
	readonly keyDigests: readonly Digest[];
	/** The priority of its requests, which replaces that of the route; undefined if the route decides. */
	readonly priority: number | undefined;
	/** How many requests per second all hosts together accept; 0 for no limit. */
	readonly ratePerSecond: number;
	/** How many requests beyond the rate may come at once. */
	readonly burst: number;
};
