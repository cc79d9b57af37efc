/** Rule: every caller gets the whole answer to its own request. */

import type {Rule} from './breach.js';

/** Finds answers that are not whole or belong to another request. */
export const findForeignAnswers: Rule = ({calls}) =>
	calls
		.filter(({status, isWhole}) => status !== 0 && !isWhole)
		.map((call) => ({
			rule: 'the whole answer to the own request',
			detail: `Request ${call.requestId} got an answer with status ${call.status} that is not its own or not whole.`,
			evidence: [call],
		}));
