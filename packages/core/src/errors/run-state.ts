/** Whether a failed request may have run on a target. */

/**
 * `not-run`: no target has run the request and none will. `unknown`: a target may have run it.
 */
export type RunState = 'not-run' | 'unknown';
