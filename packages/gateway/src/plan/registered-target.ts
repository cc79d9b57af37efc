/** A target as it is registered in the platform's store. */

import type {
	Branded,
	DataCentreId,
	ServiceName,
	TargetId,
} from '@bilberryscale/core';

/** Identifies one run of a target's process; a restart gives a new one. */
export type TargetIncarnation = Branded<string, 'TargetIncarnation'>;

/** The entry that a target publishes to register itself. */
export type RegisteredTarget = {
	readonly id: TargetId;
	readonly incarnation: TargetIncarnation;
	readonly service: ServiceName;
	readonly address: string;
	readonly port: number;
	readonly dataCentre: DataCentreId;
	/** The maximum number of requests that it runs concurrently. */
	readonly slots: number;
	/** Counts the entries that this incarnation has published. */
	readonly sequence: number;
	/** Whether it is shutting down and must get no new requests. */
	readonly isDraining: boolean;
	/** How much of its warm-up remained at the time of registration, in milliseconds. */
	readonly remainingWarmUpMs: number;
};
