/** Rule: every caller receives the complete response to its own request. */

import type {Rule} from './violation.js';

/** Finds responses that are incomplete or belong to another request. */
export const findInvalidResponses: Rule = ({calls}) =>
	calls
		.filter(({status, isWhole}) => status !== 0 && !isWhole)
		.map((call) => ({
			rule: 'each request gets its own complete response',
			detail: `Request ${call.requestId} got a response with status ${call.status} that is incomplete or belongs to another request.`,
			evidence: [call],
		}));
