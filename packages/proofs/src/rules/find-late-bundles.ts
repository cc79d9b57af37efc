/** Rule: an accepted bundle is in force everywhere within seconds. */

import {getAdoptions} from '../history/get-adoptions.js';
import type {History, Roll} from '../history/history.js';
import {type Breach, type Rule, inForceWithinMs} from './breach.js';

/** Finds reachable hosts that did not take a bundle into force in time. */
export const findLateBundles: Rule = (history) =>
	history.rolls.flatMap((roll) =>
		history.hosts
			.filter((host) => isPresent(host, roll, history))
			.flatMap((host) => checkHost(host, roll, history)),
	);

/** Tells whether a host was there for the whole time that a roll may take. */
function isPresent(host: string, roll: Roll, history: History): boolean {
	const dueAtMs = roll.atMs + inForceWithinMs;
	const wasAway = history.absences.some(
		(absence) =>
			absence.host === host &&
			absence.fromMs <= dueAtMs &&
			absence.toMs >= roll.atMs,
	);
	return dueAtMs <= history.endedAtMs && !wasAway;
}

function checkHost(host: string, roll: Roll, history: History): Breach[] {
	const dueAtMs = roll.atMs + inForceWithinMs;
	const isInForce = getAdoptions(history.audits).some(
		({audit, version}) =>
			audit.host === host && version >= roll.version && audit.atMs <= dueAtMs,
	);
	return isInForce
		? []
		: [
				{
					rule: 'a bundle is in force everywhere within seconds',
					detail: `${host} did not have version ${roll.version} in force ${inForceWithinMs} ms after it was rolled.`,
					evidence: [roll],
				},
			];
}
