/** Makes all targets of a deployment in one process. */

import {makeSeededRandom, systemClock} from '@bilberryscale/core';
import type {TargetPlace} from '../deployment/address-plan.js';
import type {Deployment} from '../deployment/deployment.js';
import type {RunLog} from './run-log.js';
import {TargetStandin} from './target-standin.js';

const queueLengthPerSlot = 2;

/** What the targets are made from. */
export type TargetsOptions = {
	readonly deployment: Deployment;
	readonly places: readonly TargetPlace[];
	readonly seed: number;
	readonly log: RunLog;
};

/**
 * Makes the targets; they do not listen yet.
 *
 * @param options - The deployment, the places and the seed.
 * @returns The targets in the order of the places.
 */
export function makeTargets(options: TargetsOptions): TargetStandin[] {
	const {deployment, places, seed, log} = options;
	return places.map((place, index) => {
		const service = deployment.services.find(
			({name}) => name === place.service,
		)!;
		return new TargetStandin({
			place,
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
