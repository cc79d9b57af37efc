/** The state that a host reports to its peers. */

import type {HostId, IncarnationId} from '@bilberryscale/core';

/** Identifies one incarnation of a peer. */
export type PeerIdentity = {
	readonly host: HostId;
	readonly incarnation: IncarnationId;
};

/** The state of a peer, as of its last heartbeat or reply. */
export type PeerState = {
	/** Its clock: the fleet time once it serves, before that its wall clock. */
	readonly clockMs: number;
	/** Its life-cycle phase; only a serving host can be a member. */
	readonly phase: 'starting' | 'serving' | 'leaving';
	/** The version of its bundle, or 0 if it has none. */
	readonly bundleVersion: number;
	/** The bit mask of the buckets whose leases it holds, in hexadecimal. */
	readonly held: string;
};
