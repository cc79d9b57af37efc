/** Baseline policies: power of two random choices. */

import type {TargetState} from '../target/target-state.js';
import {getRandomItem} from '../utils/get-random-item.js';
import type {SelectionPolicy} from './selection-policy.js';

/** Selects the one of two with the fewer outstanding requests of this host. */
export const chooseOfTwoByOutstanding = makeTwoChoices(
	({outstanding}) => outstanding,
);

/** Selects the one of two with the lower load in its last report. */
export const chooseOfTwoByReportedLoad = makeTwoChoices(
	({report}) => report?.inFlight ?? 0,
);

function makeTwoChoices(
	getLoad: (state: TargetState) => number,
): SelectionPolicy {
	return ({candidates, random}) => {
		const first = getRandomItem(candidates, random);
		const second = getRandomItem(candidates, random);
		return getLoad(second) < getLoad(first) ? second : first;
	};
}
