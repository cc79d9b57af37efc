/** The versioned routing configuration that operators publish. */

import type {Branded, ServiceName} from '@bilberryscale/core';
import type {AccountDirectory} from '../accounts/account-directory.js';
import type {ClientAccount} from './client-account.js';

/** The version of a routing plan; a higher version replaces a lower one. */
export type PlanVersion = Branded<number, 'PlanVersion'>;

/** The name by which logs refer to a route. */
export type RouteName = Branded<string, 'RouteName'>;

/** A service that gets a share of a route's requests. */
export type WeightedService = {
	readonly service: ServiceName;
	/** The share, relative to the weights of the route's other services. */
	readonly weight: number;
};

/** Which requests go to which services, and under which limits. */
export type Route = {
	readonly name: RouteName;
	readonly host: string;
	/** The path prefix that a request must match; it ends with a slash. */
	readonly pathPrefix: string;
	/** Whether a request may be executed more than once. */
	readonly isIdempotent: boolean;
	readonly weightedServices: readonly WeightedService[];
	/** The maximum time until a request is answered, in milliseconds. */
	readonly timeoutMs: number;
	/** The latency target, in milliseconds. */
	readonly targetLatencyMs: number;
	/** The maximum number of attempts for one request. */
	readonly maxAttempts: number;
	/** The priority; 0 is the highest. */
	readonly priority: number;
	/** Whether requests need no key of a client account. */
	readonly isPublic?: boolean;
};

/** The health check of a service's targets and the limits on what each of them can handle. */
export type ServicePlan = {
	readonly name: ServiceName;
	readonly healthPath: string;
	/** The maximum number of connections from the whole fleet to one target. */
	readonly maxConnections: number;
	/** The request rate from the whole fleet that a target can handle while it warms up. */
	readonly maxWarmUpRequestsPerSecond: number;
};

/** The limits on the size of a caller's requests and on the time to receive them. */
export type CallerLimits = {
	readonly maxHeaderBytes: number;
	readonly maxBodyBytes: number;
	readonly headerTimeoutMs: number;
	readonly idleTimeoutMs: number;
};

/** One version of the complete routing configuration. */
export type RoutingPlan = {
	readonly version: PlanVersion;
	readonly routes: readonly Route[];
	readonly services: readonly ServicePlan[];
	readonly limits: CallerLimits;
	/** The client accounts; undefined if requests need no key. */
	readonly clientAccounts?: readonly ClientAccount[];
	/** The same accounts, indexed by their keys; undefined if the index is still to be built. */
	readonly accountDirectory?: AccountDirectory;
};
