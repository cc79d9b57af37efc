/** The settings of a gateway host. */

import type {DataCentreId, HostId} from '@bilberryscale/core';
import type {AllotmentBound} from '../accounts/allotment-tolerance.js';
import type {RetryBudgetLimit} from '../limits/retry-budget.js';
import type {WarmUpBound} from '../warm-up/warm-up-bound.js';

/** The address and port of a server. */
export type Endpoint = {
	readonly address: string;
	readonly port: number;
};

/** The validated settings. */
export type GatewaySettings = {
	readonly host: HostId;
	readonly dataCentre: DataCentreId;
	/** The server for callers. */
	readonly callers: Endpoint;
	/** The server of the readiness check, which the load balancer polls. */
	readonly readiness: Endpoint;
	/** The server for other hosts; undefined if this host accepts none. */
	readonly peers: Endpoint | undefined;
	/** The UDP port for gossip, the same on all hosts. */
	readonly talkPort: number;
	/** The TCP port on which hosts accept requests from each other, the same on all hosts. */
	readonly forwardingPort: number;
	/** The server of the Prometheus metrics. */
	readonly metrics: Endpoint;
	/** Hosts through which the others are discovered; some may no longer exist. */
	readonly seeds: readonly Endpoint[];
	/** The limit of the retry budget. */
	readonly retryBound: RetryBudgetLimit;
	/** By how much requests to a cold target may exceed the rate that its service publishes; undefined for not at all. */
	readonly warmUpBound?: WarmUpBound;
	/** By how much requests may exceed the rate limits of client accounts; undefined for the default. */
	readonly allotmentBound?: AllotmentBound;
	/** Maximum rate of probes from the whole fleet to a target, per second. */
	readonly questionsPerTargetSecond: number;
	/**
	 * Maximum age of the published knowledge by which keys of client accounts are
	 * accepted, in milliseconds; undefined if the last known keys always are.
	 */
	readonly maxAccountsAgeMs: number | undefined;
	/** Maximum time until a published change of any kind is in force, in milliseconds. */
	readonly maxChangeDelayMs: number;
	/** How long after a disruption of the network or the store the bounds hold again, in milliseconds. */
	readonly recoveryMs: number;
	/** The memory that the process may use, in bytes; undefined if it is not known. */
	readonly memoryBytes?: number | undefined;
	/** Whether the whole fleet starts for the first time, so that no host has run before. */
	readonly isFirstStart: boolean;
	/** Maximum duration of a shutdown, in milliseconds. */
	readonly shutdownMs: number;
};
