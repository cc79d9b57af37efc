/** What a host tells its peers about itself. */

import type {HostId, IncarnationId} from '@bilberryscale/core';

/** Names one life of a peer. */
export type PeerIdentity = {
	readonly host: HostId;
	readonly incarnation: IncarnationId;
};

/** The state of a peer, as of its last message. */
export type PeerState = {
	/** Its clock: fleet time once it serves, its wall clock before. */
	readonly clockMs: number;
	/** Whether it takes work for the fleet. */
	readonly phase: 'starting' | 'serving' | 'leaving';
	/** The version of its bundle; 0 if it has none. */
	readonly bundleVersion: number;
	/** The mask of the buckets that it holds, in hexadecimal. */
	readonly held: string;
};
