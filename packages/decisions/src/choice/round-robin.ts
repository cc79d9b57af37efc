/** Baseline policy: round robin. */

import type {SelectionPolicy} from './selection-policy.js';

/**
 * Makes a policy that cycles through the candidates.
 *
 * @returns The policy, which keeps the index of the next candidate.
 */
export function makeRoundRobin(): SelectionPolicy {
	let nextIndex = 0;
	return ({candidates}) => candidates[nextIndex++ % candidates.length]!;
}
