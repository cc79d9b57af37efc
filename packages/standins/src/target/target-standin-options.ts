/** How a target's stand-in is made. */

import type {Clock, RandomSource} from '@bilberryscale/core';
import type {TargetPlace} from '../deployment/address-plan.js';
import type {RunLog} from './run-log.js';

/** How a target is made. */
export type TargetStandinOptions = {
	readonly place: TargetPlace;
	readonly slots: number;
	/** How many requests may wait before the target refuses. */
	readonly queueLength: number;
	readonly connections: number;
	/** How many requests at once the target bears when it is cold. */
	readonly coldAllowance: number;
	readonly serviceTimeMs: number;
	readonly spread: number;
	/** The one-way delay to other data centres in milliseconds. */
	readonly delayMs: number;
	readonly newConnectionMs: number;
	readonly random: RandomSource;
	readonly clock: Clock;
	readonly log: RunLog;
};
