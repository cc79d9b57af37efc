/** The settings of a gateway host. */

import type {DataCentreId, HostId} from '@bilberryscale/core';
import type {RetryBudgetLimit} from '../limits/retry-budget.js';

/** Where a server listens. */
export type Endpoint = {
	readonly address: string;
	readonly port: number;
};

/** The checked settings. */
export type GatewaySettings = {
	readonly host: HostId;
	readonly dataCentre: DataCentreId;
	/** Where callers come in. */
	readonly callers: Endpoint;
	/** Where the balancer asks whether this host is ready. */
	readonly readiness: Endpoint;
	/** Where other hosts come in; undefined if this host takes none. */
	readonly peers: Endpoint | undefined;
	/** The port for datagrams between hosts, the same on all of them. */
	readonly talkPort: number;
	readonly metrics: Endpoint;
	/** Some hosts by which the others are found; they may be gone. */
	readonly seeds: readonly Endpoint[];
	readonly retryBound: RetryBudgetLimit;
	/** How many questions a target gets in a second from the fleet. */
	readonly questionsPerTargetSecond: number;
	/** How long a process may take to stop, in milliseconds. */
	readonly shutdownMs: number;
};
