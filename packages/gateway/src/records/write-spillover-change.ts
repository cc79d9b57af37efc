/** Logs that the requests of a service go to other data centres, or no longer do. */

import type {ServiceName} from '@bilberryscale/core';
import type {SpilloverInputs, SpilloverStage} from '../choice/spillover.js';
import type {EventLog} from './event-log.js';

/**
 * Writes a line with the new stage, its inputs and their age.
 *
 * @param log - The log.
 * @param service - The service.
 * @param stage - Where its requests go from now on.
 * @param inputs - What the decision is based on.
 */
export function writeSpilloverChange(
	log: EventLog,
	service: ServiceName,
	stage: SpilloverStage,
	inputs: SpilloverInputs,
): void {
	log.write('spillover changed', {
		service,
		stage,
		farFirstShare: roundToHundredth(inputs.farFirstShare),
		nearShortage: roundToHundredth(inputs.nearShortage),
		nearLookAgeMs: getFiniteMs(inputs.nearLookAgeMs),
		nearWaitMs: Math.round(inputs.nearWaitMs),
		farShortage: roundToHundredth(inputs.farShortage),
		farLookAgeMs: getFiniteMs(inputs.farLookAgeMs),
		roundTripMs: roundToHundredth(inputs.roundTripMs),
		isNearSilent: inputs.isNearSilent,
	});
}

function roundToHundredth(value: number): number {
	return Math.round(value * 100) / 100;
}

/** Leaves out an age that is infinite because nothing was observed yet. */
function getFiniteMs(ageMs: number): number | undefined {
	return Number.isFinite(ageMs) ? Math.round(ageMs) : undefined;
}
