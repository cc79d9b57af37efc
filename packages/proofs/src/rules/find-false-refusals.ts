/** Rule: a request that was refused as not run has not started on any target. */

import type {Rule} from './violation.js';

/** Finds requests that were refused as not run but started on a target. */
export const findFalseRefusals: Rule = ({calls, runs}) => {
	const startedRuns = new Map(
		runs
			.filter(({event}) => event === 'begin')
			.map((record) => [record.requestId, record]),
	);
	return calls.flatMap((call) => {
		const run = startedRuns.get(call.requestId);
		return call.ran === 'not-run' && run !== undefined
			? [
					{
						rule: 'a request refused as not run never started',
						detail: `Request ${call.requestId} was refused as not run (${call.errorKind}) but started on ${run.target}.`,
						evidence: [call, run],
					},
				]
			: [];
	});
};
