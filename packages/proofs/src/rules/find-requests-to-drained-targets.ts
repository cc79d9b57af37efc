/** Rule: targets that were drained or removed get no new requests after a few seconds. */

import type {RunRecord} from '@bilberryscale/standins';
import type {History, Rollout} from '../history/history.js';
import {maxActivationDelayMs, type Rule} from './violation.js';

/** Finds requests that reached a target after its data centre was drained or the target was removed from the bundle. */
export const findRequestsToDrainedTargets: Rule = (history) => {
	const dataCentreByTarget = new Map(
		history.targetDataCentres.map(({target, dataCentre}) => [
			target,
			dataCentre,
		]),
	);
	return history.runs
		.filter(({event}) => event === 'begin' || event === 'refuse')
		.flatMap((run) => {
			const rollout = findDrainingRollout(
				run,
				dataCentreByTarget.get(run.target),
				history,
			);
			return rollout === undefined
				? []
				: [
						{
							rule: 'drained targets get no new requests',
							detail: `${run.target} got request ${run.requestId} ${run.atMs - rollout.atMs} ms after version ${rollout.version} had drained or removed it.`,
							evidence: [rollout, run],
						},
					];
		});
};

/**
 * Finds the rollout that excluded a target from then until a run on it.
 *
 * @returns The rollout; undefined if the last rollout before the run included the target, or if the activation delay had not passed yet.
 */
function findDrainingRollout(
	run: RunRecord,
	dataCentre: string | undefined,
	{rollouts}: History,
): Rollout | undefined {
	const excludesTarget = ({drainedDataCentres, removedTargets}: Rollout) =>
		removedTargets.includes(run.target) ||
		(dataCentre !== undefined && drainedDataCentres.includes(dataCentre));
	const earlierRollouts = rollouts.filter(({atMs}) => atMs <= run.atMs);
	const lastIncludingIndex = earlierRollouts.findLastIndex(
		(rollout) => !excludesTarget(rollout),
	);
	const firstExcluding = earlierRollouts[lastIncludingIndex + 1];
	return firstExcluding !== undefined &&
		run.atMs - firstExcluding.atMs > maxActivationDelayMs
		? firstExcluding
		: undefined;
}
