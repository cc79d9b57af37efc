/** A target as it is published. */

import type {
	Branded,
	DataCentreId,
	ServiceName,
	TargetId,
} from '@bilberryscale/core';

/** Names one life of a target; a restart gives a new one. */
export type TargetLife = Branded<string, 'TargetLife'>;

/** A target that registered itself. */
export type ListedTarget = {
	readonly id: TargetId;
	readonly life: TargetLife;
	readonly service: ServiceName;
	readonly address: string;
	readonly port: number;
	readonly dataCentre: DataCentreId;
	/** How many requests it runs at once. */
	readonly slots: number;
	/** Whether it is about to leave and must get no new requests. */
	readonly isDraining: boolean;
	/** How much longer it was cold when it registered, in milliseconds. */
	readonly coldMs: number;
};
