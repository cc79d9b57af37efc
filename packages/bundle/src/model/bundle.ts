/** The bundle: the configuration of services, targets and limits that operators publish. */

import type {
	BundleVersion,
	CallerClass,
	DataCentreId,
	ServiceName,
	TargetId,
} from '@bilberryscale/core';

/** A data centre and its operational state. */
export type DataCentre = {
	readonly id: DataCentreId;
	/** `out`: the data centre is drained and gets no new requests. */
	readonly state: 'in' | 'out';
};

/** The one-way delay between two data centres. */
export type Distance = {
	readonly between: readonly [DataCentreId, DataCentreId];
	/** The one-way delay in milliseconds. */
	readonly delayMs: number;
};

/** A class of callers of a service and its share of the capacity under overload. */
export type CallerClassShare = {
	readonly name: CallerClass;
	/** The weight in fair sharing; a higher weight gets a larger share. */
	readonly weight: number;
};

/** A target and its capacity, shared by all entry hosts. */
export type Target = {
	readonly id: TargetId;
	/** The IP address. */
	readonly address: string;
	readonly port: number;
	readonly dataCentre: DataCentreId;
	/** The maximum number of requests that run concurrently. */
	readonly slots: number;
	/** The maximum number of open connections. */
	readonly connections: number;
	/** The maximum number of concurrent requests right after a start. */
	readonly coldAllowance: number;
};

/** The limits of a service. */
export type ServiceLimits = {
	/** The maximum number of requests in the queue of one entry host. */
	readonly queueLength: number;
	/** The maximum time in the queue, in milliseconds. */
	readonly queueTimeMs: number;
	/** The default timeout of a request, in milliseconds. */
	readonly timeoutMs: number;
	/** The maximum size of a request body, in bytes. */
	readonly bodyBytes: number;
};

/** The limits on retries and hedged requests. */
export type RetryPolicy = {
	/** The retry budget: the maximum ratio of retries and hedged requests to first attempts, from 0 to 1. */
	readonly share: number;
	/** The maximum number of attempts for a request, including the first. */
	readonly attempts: number;
};

/** The rate limits on probes of one target, shared by all entry hosts. */
export type ProbeBudget = {
	/** The maximum number of probes of one target per second. */
	readonly callsPerSecond: number;
	/** The maximum number of probe bytes to and from one target per second. */
	readonly bytesPerSecond: number;
};

/** Which requests of a service are idempotent and may be sent more than once; `by-method` decides by the HTTP method. */
export type Idempotency = 'by-method' | 'all' | 'none';

/** A service, its targets and the policies for its requests. */
export type Service = {
	readonly name: ServiceName;
	readonly idempotency: Idempotency;
	/** The classes of callers; the first is the default. */
	readonly classes: readonly CallerClassShare[];
	readonly limits: ServiceLimits;
	readonly retry: RetryPolicy;
	readonly measuring: ProbeBudget;
	readonly targets: readonly Target[];
};

/** A bundle. */
export type Bundle = {
	readonly version: BundleVersion;
	readonly dataCentres: readonly DataCentre[];
	readonly distances: readonly Distance[];
	readonly services: readonly Service[];
};
