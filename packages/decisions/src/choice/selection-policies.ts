/** The selection policies by the names that settings and experiments use. */

import {makeLeastCost} from './least-cost.js';
import {chooseLeastOutstanding} from './least-outstanding.js';
import {chooseRandom} from './random.js';
import {makeRoundRobin} from './round-robin.js';
import type {SelectionPolicy} from './selection-policy.js';
import {
	chooseOfTwoByOutstanding,
	chooseOfTwoByReportedLoad,
} from './two-choices.js';

/** The names of the selection policies. */
export const selectionPolicyNames = [
	'random',
	'round-robin',
	'least-outstanding',
	'two-choices',
	'two-reports',
	'least-cost-2',
	'least-cost-3',
	'least-cost-5',
] as const;

/** The name of a selection policy. */
export type SelectionPolicyName = (typeof selectionPolicyNames)[number];

const policyFactories: Readonly<
	Record<SelectionPolicyName, () => SelectionPolicy>
> = {
	random: () => chooseRandom,
	'round-robin': makeRoundRobin,
	'least-outstanding': () => chooseLeastOutstanding,
	'two-choices': () => chooseOfTwoByOutstanding,
	'two-reports': () => chooseOfTwoByReportedLoad,
	'least-cost-2': () => makeLeastCost({sampleSize: 2}),
	'least-cost-3': () => makeLeastCost({sampleSize: 3}),
	'least-cost-5': () => makeLeastCost({sampleSize: 5}),
};

/**
 * Makes a selection policy for one service.
 *
 * @param name - The name of the policy.
 * @returns The policy, which may keep state, such as the position of a round robin.
 */
export function makeSelectionPolicy(
	name: SelectionPolicyName,
): SelectionPolicy {
	return policyFactories[name]();
}
