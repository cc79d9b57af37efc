/** All rules together. */

import type {History} from '../history/history.js';
import type {Breach, Rule} from './breach.js';
import {findCutCalls} from './find-cut-calls.js';
import {findForeignAnswers} from './find-foreign-answers.js';
import {findLateBundles} from './find-late-bundles.js';
import {findLateWork} from './find-late-work.js';
import {findRevertedBundles} from './find-reverted-bundles.js';
import {findSecondRuns} from './find-second-runs.js';
import {findUntrueRefusals} from './find-untrue-refusals.js';

const rules: readonly Rule[] = [
	findSecondRuns,
	findUntrueRefusals,
	findForeignAnswers,
	findLateWork,
	findCutCalls,
	findRevertedBundles,
	findLateBundles,
];

/**
 * Checks a history against all rules.
 *
 * @param history - The history.
 * @returns Every breach; none if all rules held.
 */
export function checkHistory(history: History): readonly Breach[] {
	return rules.flatMap((rule) => rule(history));
}
