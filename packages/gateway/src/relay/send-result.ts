/** How one send to a target ended. */

import type {Answer} from '@bilberryscale/daemon/edge';

/** Why a send brought no answer. */
export type BrokenCause =
	/** The target took no connection. */
	| 'unreachable'
	/** The connection or the answer broke off, or is not the answer. */
	| 'broken'
	/** The target is silent to everything. */
	| 'silent'
	/** The time of the request is over. */
	| 'overdue'
	/** The caller has left. */
	| 'caller-gone';

/** How one send ended. */
export type SendResult =
	| {readonly kind: 'answered'; readonly answer: Answer}
	/** The target says that it did not run the request. */
	| {readonly kind: 'refused'; readonly status: number}
	| {
			readonly kind: 'broken';
			readonly cause: BrokenCause;
			readonly mayHaveRun: boolean;
			readonly detail: string;
	  };
