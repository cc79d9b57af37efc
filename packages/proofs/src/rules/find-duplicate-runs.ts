/** Rule: a non-idempotent request runs at most once. */

import type {RunRecord} from '@bilberryscale/standins';
import {groupBy} from '../utils/group-by.js';
import type {Rule} from './violation.js';

/** Finds idempotency keys, and requests without a key, that started more than once. */
export const findDuplicateRuns: Rule = ({runs}) => {
	const startedRuns = runs.filter(
		({event, method}) => event === 'begin' && method === 'POST',
	);
	return [...groupBy(startedRuns, getOperationName)]
		.filter(([, records]) => records.length > 1)
		.map(([name, records]) => ({
			rule: 'a non-idempotent request runs at most once',
			detail: `${name} started ${records.length} times.`,
			evidence: records,
		}));
};

function getOperationName({key, requestId}: RunRecord): string {
	return key === undefined ? `Request ${requestId}` : `Key ${key}`;
}
