/** Checks a history against every rule. */

import type {History} from '../history/history.js';
import type {Violation, Rule} from './violation.js';
import {findAbortedRequests} from './find-aborted-requests.js';
import {findInvalidResponses} from './find-invalid-responses.js';
import {findLateAdoptions} from './find-late-adoptions.js';
import {findRequestsToDrainedTargets} from './find-requests-to-drained-targets.js';
import {findVersionRegressions} from './find-version-regressions.js';
import {findDuplicateRuns} from './find-duplicate-runs.js';
import {findFalseRefusals} from './find-false-refusals.js';

const rules: readonly Rule[] = [
	findDuplicateRuns,
	findFalseRefusals,
	findInvalidResponses,
	findRequestsToDrainedTargets,
	findAbortedRequests,
	findVersionRegressions,
	findLateAdoptions,
];

/**
 * Checks a history against all rules.
 *
 * @param history - The history of a run.
 * @returns All violations; empty if every rule holds.
 */
export function checkHistory(history: History): readonly Violation[] {
	return rules.flatMap((rule) => rule(history));
}
