/** Whether a refused request may have run on a target. */

/**
 * `not-run`: no target ran it and none will. `unknown`: one may have run it.
 */
export type RunState = 'not-run' | 'unknown';
