/** A breach of what must always hold. */

import type {History} from '../history/history.js';

/** One breach and the records that show it. */
export type Breach = {
	readonly rule: string;
	/** One sentence with what was seen. */
	readonly detail: string;
	/** The records that show it. */
	readonly evidence: readonly unknown[];
};

/** Finds the breaches of one rule; gives none if the rule held. */
export type Rule = (history: History) => readonly Breach[];

/** The time within which a change is in force everywhere, in milliseconds. */
export const inForceWithinMs = 6000;
