/** The interface of the load-balancing policies that select a target. */

import type {RandomSource} from '@bilberryscale/core';
import type {ServiceAverages} from '../target/service-averages.js';
import type {TargetState} from '../target/target-state.js';

/** The input of a selection policy. */
export type SelectionContext = {
	/** The available targets; never empty. */
	readonly candidates: readonly TargetState[];
	/** The averages over the targets of the service. */
	readonly averages: ServiceAverages;
	readonly random: RandomSource;
	/** The monotonic time in milliseconds. */
	readonly nowMs: number;
};

/**
 * Selects one of the candidates.
 *
 * @param context - The candidates and the state to compare them by.
 * @returns The selected target.
 */
export type SelectionPolicy = (context: SelectionContext) => TargetState;
