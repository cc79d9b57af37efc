/** The choices by name, so that settings and experiments can pick one. */

import {makeLeastCost} from './least-cost.js';
import {chooseLeastOutstanding} from './least-outstanding.js';
import {chooseAtRandom} from './random-choice.js';
import {makeRoundRobin} from './round-robin.js';
import type {TargetChoice} from './target-choice.js';
import {chooseOfTwo, chooseOfTwoByReport} from './two-choices.js';

/** The names of the choices. */
export const choiceNames = [
	'random',
	'round-robin',
	'least-outstanding',
	'two-choices',
	'two-reports',
	'least-cost-2',
	'least-cost-3',
	'least-cost-5',
] as const;

/** One of the names. */
export type ChoiceName = (typeof choiceNames)[number];

const choiceMakers: Readonly<Record<ChoiceName, () => TargetChoice>> = {
	random: () => chooseAtRandom,
	'round-robin': makeRoundRobin,
	'least-outstanding': () => chooseLeastOutstanding,
	'two-choices': () => chooseOfTwo,
	'two-reports': () => chooseOfTwoByReport,
	'least-cost-2': () => makeLeastCost({sampleSize: 2}),
	'least-cost-3': () => makeLeastCost({sampleSize: 3}),
	'least-cost-5': () => makeLeastCost({sampleSize: 5}),
};

/**
 * Makes a choice for one service.
 *
 * @param name - The name of the choice.
 * @returns The choice.
 */
export function makeChoice(name: ChoiceName): TargetChoice {
	return choiceMakers[name]();
}
