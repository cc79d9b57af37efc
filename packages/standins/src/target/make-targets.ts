/** Creates all simulated targets of a deployment in one process. */

import {makeSeededRandom, systemClock} from '@bilberryscale/core';
import type {TargetLocation} from '../deployment/address-plan.js';
import type {Deployment} from '../deployment/deployment.js';
import type {RunLog} from './run-log.js';
import {SimulatedTarget} from './simulated-target.js';

const queueLengthPerSlot = 2;

/** The options of `makeTargets`. */
export type TargetsOptions = {
	readonly deployment: Deployment;
	readonly locations: readonly TargetLocation[];
	readonly seed: number;
	readonly log: RunLog;
};

/**
 * Creates the targets without listening.
 *
 * @param options - The deployment, the addresses of the targets, the random seed and the run log.
 * @returns The targets, in the order of `locations`.
 */
export function makeTargets(options: TargetsOptions): SimulatedTarget[] {
	const {deployment, locations, seed, log} = options;
	return locations.map((location, index) => {
		const service = deployment.services.find(
			({name}) => name === location.service,
		)!;
		return new SimulatedTarget({
			location,
			slots: deployment.slots,
			connections: deployment.connections,
			coldAllowance: deployment.coldAllowance,
			queueLength: deployment.slots * queueLengthPerSlot,
			serviceTimeMs: service.serviceTimeMs,
			spread: service.spread,
			delayMs: deployment.delayMs,
			newConnectionMs: deployment.newConnectionMs,
			random: makeSeededRandom(seed + index),
			clock: systemClock,
			log,
		});
	});
}
