/** The address on which another entry host listens for its peers. */

import type {HostId} from '@bilberryscale/core';

/** The address of a peer. */
export type PeerAddress = {
	readonly host: HostId;
	/** The IP address. */
	readonly address: string;
	readonly port: number;
};
