/** Rule: a host never goes back to an older bundle. */

import type {AuditEntry, History} from '../history/history.js';
import {getAdoptions, type BundleAdoption} from '../history/get-adoptions.js';
import {groupBy} from '../utils/group-by.js';
import {type Violation, type Rule, maxActivationDelayMs} from './violation.js';

const rule = 'the bundle version in force never decreases';

/** Finds hosts that adopted a lower version than before in the same incarnation, or a version that was long outdated. */
export const findVersionRegressions: Rule = (history) => {
	const adoptions = getAdoptions(history.auditEntries);
	const adoptionsByIncarnation = groupBy(
		adoptions,
		({auditEntry}) => auditEntry.incarnation,
	);
	return [
		...[...adoptionsByIncarnation.values()].flatMap((group) =>
			findRegressionsInIncarnation(group),
		),
		...adoptions.flatMap((adoption) => findOutdatedAdoption(adoption, history)),
	];
};

function findRegressionsInIncarnation(
	adoptions: readonly BundleAdoption[],
): Violation[] {
	return adoptions.slice(1).flatMap((adoption, index) => {
		const previous = adoptions[index]!;
		return adoption.version < previous.version
			? [
					makeViolation(
						adoption,
						previous.auditEntry,
						`after version ${previous.version}`,
					),
				]
			: [];
	});
}

/** Reports an adoption if a newer version had been published more than the maximum activation delay earlier. */
function findOutdatedAdoption(
	adoption: BundleAdoption,
	{rollouts}: History,
): Violation[] {
	const {version, auditEntry} = adoption;
	const newerRollout = rollouts.find(
		(rollout) =>
			rollout.version > version &&
			rollout.atMs + maxActivationDelayMs < auditEntry.atMs,
	);
	return newerRollout === undefined
		? []
		: [
				makeViolation(
					adoption,
					newerRollout,
					`long after version ${newerRollout.version} was published`,
				),
			];
}

function makeViolation(
	{version, auditEntry}: BundleAdoption,
	relatedRecord: AuditEntry | unknown,
	circumstance: string,
): Violation {
	return {
		rule,
		detail: `${auditEntry.host} adopted version ${version} ${circumstance}.`,
		evidence: [relatedRecord, auditEntry],
	};
}
