/** The baseline that looks at nothing. */

import {getRandomItem} from '../utils/get-random-item.js';
import type {TargetChoice} from './target-choice.js';

/** Chooses any candidate. */
export const chooseAtRandom: TargetChoice = ({candidates, random}) =>
	getRandomItem(candidates, random);
