/** Rule: a refusal that says "not run" is true. */

import type {Rule} from './breach.js';

/** Finds requests that were answered as not run and have begun to run. */
export const findUntrueRefusals: Rule = ({calls, runs}) => {
	const begun = new Map(
		runs
			.filter(({event}) => event === 'begin')
			.map((record) => [record.requestId, record]),
	);
	return calls.flatMap((call) => {
		const run = begun.get(call.requestId);
		return call.ran === 'not-run' && run !== undefined
			? [
					{
						rule: 'not run is true',
						detail: `Request ${call.requestId} was refused as not run (${call.errorKind}) and began at ${run.target}.`,
						evidence: [call, run],
					},
				]
			: [];
	});
};
