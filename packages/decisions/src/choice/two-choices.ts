/** Two random choices on own outstanding requests. */

import {getRandomItem} from '../utils/random-item.js';
import type {TargetChoice} from './target-choice.js';

/** Chooses the less loaded of two random candidates. */
export const chooseOfTwo: TargetChoice = ({candidates, random}) => {
	const first = getRandomItem(candidates, random);
	const second = getRandomItem(candidates, random);
	return second.outstanding < first.outstanding ? second : first;
};
