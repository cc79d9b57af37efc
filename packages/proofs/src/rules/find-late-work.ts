/** Rule: what was taken out gets no new work after a few seconds. */

import type {RunRecord} from '@bilberryscale/standins';
import type {History, Roll} from '../history/history.js';
import {inForceWithinMs, type Rule} from './breach.js';

/** Finds work at targets whose data centre was taken out, or that leave. */
export const findLateWork: Rule = (history) => {
	const centres = new Map(
		history.sites.map(({target, dataCentre}) => [target, dataCentre]),
	);
	return history.runs
		.filter(({event}) => event === 'begin' || event === 'refuse')
		.flatMap((run) => {
			const roll = findRollAgainst(run, centres.get(run.target), history);
			return roll === undefined
				? []
				: [
						{
							rule: 'no new work at what was taken out',
							detail: `${run.target} got request ${run.requestId} ${run.atMs - roll.atMs} ms after version ${roll.version} had taken it out.`,
							evidence: [roll, run],
						},
					];
		});
};

/** Finds the first of the rolls that kept the target out until the run. */
function findRollAgainst(
	run: RunRecord,
	dataCentre: string | undefined,
	{rolls}: History,
): Roll | undefined {
	const isOut = ({out, leaving}: Roll) =>
		leaving.includes(run.target) ||
		(dataCentre !== undefined && out.includes(dataCentre));
	const before = rolls.filter(({atMs}) => atMs <= run.atMs);
	const lastIn = before.findLastIndex((roll) => !isOut(roll));
	const first = before[lastIn + 1];
	return first !== undefined && run.atMs - first.atMs > inForceWithinMs
		? first
		: undefined;
}
