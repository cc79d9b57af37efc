/** The violations that the rules report. */

import type {History} from '../history/history.js';

/** A violation of a rule and the records that show it. */
export type Violation = {
	readonly rule: string;
	/** One sentence that describes what was observed. */
	readonly detail: string;
	/** The records that show the violation. */
	readonly evidence: readonly unknown[];
};

/** Checks a history against one rule and returns its violations. */
export type Rule = (history: History) => readonly Violation[];

/** Maximum time until a published bundle is in force on every reachable host, in milliseconds. */
export const maxActivationDelayMs = 6000;
