/** A target as it is registered in the platform's store. */

import type {
	Branded,
	DataCentreId,
	ServiceName,
	TargetId,
} from '@bilberryscale/core';

/** Identifies one run of a target's process; a restart gives a new one. */
export type TargetIncarnation = Branded<string, 'TargetIncarnation'>;

/** The entry by which a target registers itself. */
export type RegisteredTarget = {
	readonly id: TargetId;
	readonly incarnation: TargetIncarnation;
	readonly service: ServiceName;
	readonly address: string;
	readonly port: number;
	readonly dataCentre: DataCentreId;
	/** How many requests it runs concurrently. */
	readonly slots: number;
	/** Whether it is shutting down and must get no new requests. */
	readonly isDraining: boolean;
	/** The rest of its warm-up at the time of registration, in milliseconds. */
	readonly remainingWarmUpMs: number;
};
