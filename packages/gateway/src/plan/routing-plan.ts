/** What operators want the fleet to do, as it is in force on a host. */

import type {Branded, ServiceName} from '@bilberryscale/core';

/** Orders routing plans; a higher one replaces a lower one. */
export type PlanVersion = Branded<number, 'PlanVersion'>;

/** Names a route in logs. */
export type RouteName = Branded<string, 'RouteName'>;

/** A service that takes a share of a route's requests. */
export type RoutePart = {
	readonly service: ServiceName;
	/** The share, relative to the weights of the other parts. */
	readonly weight: number;
};

/** Which requests go where, and within which bounds. */
export type Route = {
	readonly name: RouteName;
	readonly host: string;
	/** The beginning of the path; it ends with a slash. */
	readonly pathPrefix: string;
	/** Whether a request may run more than once. */
	readonly isIdempotent: boolean;
	readonly parts: readonly RoutePart[];
	/** The longest that a request may be kept waiting, in milliseconds. */
	readonly timeoutMs: number;
	/** The latency that callers hope for, in milliseconds. */
	readonly targetLatencyMs: number;
	/** How many targets one request may be sent to. */
	readonly maxAttempts: number;
	/** The rank; 0 is the most important. */
	readonly priority: number;
};

/** What targets of a service bear. */
export type ServicePlan = {
	readonly name: ServiceName;
	readonly healthPath: string;
	/** How many connections one target takes from the whole fleet. */
	readonly connections: number;
	/** How many requests a second a cold target bears from the whole fleet. */
	readonly coldRequestsPerSecond: number;
};

/** What a caller may send and how long it may take. */
export type CallerLimits = {
	readonly headerBytes: number;
	readonly bodyBytes: number;
	readonly headerTimeoutMs: number;
	readonly idleTimeoutMs: number;
};

/** One version of the whole plan. */
export type RoutingPlan = {
	readonly version: PlanVersion;
	readonly routes: readonly Route[];
	readonly services: readonly ServicePlan[];
	readonly limits: CallerLimits;
};
