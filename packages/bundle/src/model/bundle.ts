/** The bundle: what operators state about services, targets and limits. */

import type {
	BundleVersion,
	CallerClass,
	DataCentreId,
	ServiceName,
	TargetId,
} from '@bilberryscale/core';

/** A data centre and whether operators have it in service. */
export type DataCentre = {
	readonly id: DataCentreId;
	/** `out`: no new work may go there. */
	readonly state: 'in' | 'out';
};

/** The one-way delay between two data centres. */
export type Distance = {
	readonly between: readonly [DataCentreId, DataCentreId];
	/** The one-way delay in milliseconds. */
	readonly delayMs: number;
};

/** A class of callers within a service and its share under overload. */
export type CallerClassShare = {
	readonly name: CallerClass;
	/** The weight in fair sharing; higher gets more. */
	readonly weight: number;
};

/** A target and what it may carry over the whole fleet. */
export type Target = {
	readonly id: TargetId;
	/** The IP number. */
	readonly address: string;
	readonly port: number;
	readonly dataCentre: DataCentreId;
	/** How many requests it runs at once. */
	readonly slots: number;
	/** How many open connections it bears. */
	readonly connections: number;
	/** How many requests at once it bears just after a start. */
	readonly coldAllowance: number;
};

/** The bounds of one service. */
export type ServiceLimits = {
	/** How many calls may wait in one entry host. */
	readonly queueLength: number;
	/** How long a call may wait there, in milliseconds. */
	readonly queueTimeMs: number;
	/** The deadline of a call that names none, in milliseconds. */
	readonly timeoutMs: number;
	/** The largest body of a request, in bytes. */
	readonly bodyBytes: number;
};

/** The budget of retries and hedges. */
export type RetryBudget = {
	/** Retries and hedges as a share of first sends, from 0 to 1. */
	readonly share: number;
	/** How many times one call may be sent at most, the first included. */
	readonly attempts: number;
};

/** The budget of measuring one target, over the whole fleet. */
export type MeasuringBudget = {
	/** Calls a second to one target. */
	readonly callsPerSecond: number;
	/** Bytes a second to and from one target. */
	readonly bytesPerSecond: number;
};

/** Which requests of a service may be sent twice. */
export type Idempotency = 'by-method' | 'all' | 'none';

/** A service: its targets and how its calls are treated. */
export type Service = {
	readonly name: ServiceName;
	readonly idempotency: Idempotency;
	/** The classes of caller; the first is the default. */
	readonly classes: readonly CallerClassShare[];
	readonly limits: ServiceLimits;
	readonly retry: RetryBudget;
	readonly measuring: MeasuringBudget;
	readonly targets: readonly Target[];
};

/** The whole bundle. */
export type Bundle = {
	readonly version: BundleVersion;
	readonly dataCentres: readonly DataCentre[];
	readonly distances: readonly Distance[];
	readonly services: readonly Service[];
};
