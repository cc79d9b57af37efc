/** Options of a simulated target. */

import type {Clock, RandomSource} from '@bilberryscale/core';
import type {TargetLocation} from '../deployment/address-plan.js';
import type {RunLog} from './run-log.js';

/** The options of a `SimulatedTarget`. */
export type SimulatedTargetOptions = {
	readonly location: TargetLocation;
	/** The maximum number of concurrent requests. */
	readonly slots: number;
	/** The maximum number of queued requests; further ones are refused. */
	readonly queueLength: number;
	/** The maximum number of open connections. */
	readonly connections: number;
	/** The number of concurrent requests that a cold target handles without overload. */
	readonly coldAllowance: number;
	/** The mean service time in milliseconds. */
	readonly serviceTimeMs: number;
	/** The standard deviation of the logarithm of the service time. */
	readonly spread: number;
	/** The one-way delay to other data centres in milliseconds. */
	readonly delayMs: number;
	/** The time that it takes to establish a connection, in milliseconds. */
	readonly newConnectionMs: number;
	readonly random: RandomSource;
	readonly clock: Clock;
	readonly log: RunLog;
};
