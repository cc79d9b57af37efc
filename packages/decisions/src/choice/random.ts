/** Baseline policy: uniform random selection. */

import {getRandomItem} from '../utils/get-random-item.js';
import type {SelectionPolicy} from './selection-policy.js';

/** Selects a candidate at random, each with equal probability. */
export const chooseRandom: SelectionPolicy = ({candidates, random}) =>
	getRandomItem(candidates, random);
