/** The baseline that takes the candidates in turn. */

import type {TargetChoice} from './target-choice.js';

/**
 * Makes a choice that takes the candidates in turn.
 *
 * @returns The choice, which remembers whose turn it is.
 */
export function makeRoundRobin(): TargetChoice {
	let turn = 0;
	return ({candidates}) => candidates[turn++ % candidates.length]!;
}
