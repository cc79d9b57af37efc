/** The baselines that compare two random candidates. */

import type {TargetState} from '../target/target-state.js';
import {getRandomItem} from '../utils/get-random-item.js';
import type {TargetChoice} from './target-choice.js';

/** Chooses the one of two with fewer requests of this host. */
export const chooseOfTwo = makeChoiceOfTwo(({outstanding}) => outstanding);

/** Chooses the one of two whose last report is lower. */
export const chooseOfTwoByReport = makeChoiceOfTwo(
	({report}) => report?.inFlight ?? 0,
);

function makeChoiceOfTwo(
	getLoad: (state: TargetState) => number,
): TargetChoice {
	return ({candidates, random}) => {
		const first = getRandomItem(candidates, random);
		const second = getRandomItem(candidates, random);
		return getLoad(second) < getLoad(first) ? second : first;
	};
}
