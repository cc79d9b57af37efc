/** Rule: an accepted bundle is in force on every host within seconds. */

import {getAdoptions} from '../history/get-adoptions.js';
import type {History, Rollout} from '../history/history.js';
import {type Violation, type Rule, maxActivationDelayMs} from './violation.js';

/** Finds reachable hosts that did not adopt a bundle in time. */
export const findLateAdoptions: Rule = (history) =>
	history.rollouts.flatMap((rollout) =>
		history.hosts
			.filter((host) => isExpectedToAdopt(host, rollout, history))
			.flatMap((host) => checkAdoption(host, rollout, history)),
	);

/** Whether a host was reachable throughout the time allowed for a rollout, and the run lasted that long. */
function isExpectedToAdopt(
	host: string,
	rollout: Rollout,
	history: History,
): boolean {
	const deadlineMs = rollout.atMs + maxActivationDelayMs;
	const wasUnavailable = history.outages.some(
		(outage) =>
			outage.host === host &&
			outage.fromMs <= deadlineMs &&
			outage.toMs >= rollout.atMs,
	);
	return deadlineMs <= history.endedAtMs && !wasUnavailable;
}

function checkAdoption(
	host: string,
	rollout: Rollout,
	history: History,
): Violation[] {
	const deadlineMs = rollout.atMs + maxActivationDelayMs;
	const hasAdopted = getAdoptions(history.auditEntries).some(
		({auditEntry, version}) =>
			auditEntry.host === host &&
			version >= rollout.version &&
			auditEntry.atMs <= deadlineMs,
	);
	return hasAdopted
		? []
		: [
				{
					rule: 'a bundle is in force on every host within seconds',
					detail: `${host} did not have version ${rollout.version} in force ${maxActivationDelayMs} ms after it was published.`,
					evidence: [rollout],
				},
			];
}
