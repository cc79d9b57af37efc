/** Rule: a non-idempotent request runs at most once. */

import type {RunRecord} from '@bilberryscale/standins';
import {groupBy} from '../utils/group-by.js';
import type {Rule} from './breach.js';

/** Finds keys, and requests without a key, that began to run again. */
export const findSecondRuns: Rule = ({runs}) => {
	const begun = runs.filter(
		({event, method}) => event === 'begin' && method === 'POST',
	);
	return [...groupBy(begun, getName)]
		.filter(([, records]) => records.length > 1)
		.map(([name, records]) => ({
			rule: 'runs at most once',
			detail: `${name} began ${records.length} times.`,
			evidence: records,
		}));
};

function getName({key, requestId}: RunRecord): string {
	return key === undefined ? `Request ${requestId}` : `Key ${key}`;
}
