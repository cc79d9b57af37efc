/** The choice of a target as a function, so that policies can be exchanged. */

import type {RandomSource} from '@bilberryscale/core';
import type {ServiceAverages} from '../target/service-averages.js';
import type {TargetState} from '../target/target-state.js';

/** What a choice may look at. */
export type ChoiceContext = {
	/** The targets that may take the call; never empty. */
	readonly candidates: readonly TargetState[];
	/** What the targets of the service have in common. */
	readonly averages: ServiceAverages;
	readonly random: RandomSource;
	/** The monotonic time in milliseconds. */
	readonly nowMs: number;
};

/**
 * Chooses one of the candidates.
 *
 * @param context - The candidates and what else may be looked at.
 * @returns The chosen target.
 */
export type TargetChoice = (context: ChoiceContext) => TargetState;
