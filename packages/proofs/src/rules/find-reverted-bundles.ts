/** Rule: the bundle in force never reverts. */

import type {AuditEntry, History} from '../history/history.js';
import {getAdoptions, type BundleAdoption} from '../history/get-adoptions.js';
import {groupBy} from '../utils/group-by.js';
import {type Breach, type Rule, inForceWithinMs} from './breach.js';

const rule = 'the bundle in force never reverts';

/** Finds a lower version after a higher one, in a life or in a new one. */
export const findRevertedBundles: Rule = (history) => {
	const adoptions = getAdoptions(history.audits);
	const lives = groupBy(adoptions, ({audit}) => audit.incarnation);
	return [
		...[...lives.values()].flatMap((life) => findInLife(life)),
		...adoptions.flatMap((adoption) => findStale(adoption, history)),
	];
};

function findInLife(life: readonly BundleAdoption[]): Breach[] {
	return life.slice(1).flatMap((adoption, index) => {
		const former = life[index]!;
		return adoption.version < former.version
			? [describe(adoption, former.audit, `after ${former.version}`)]
			: [];
	});
}

/** Finds a host that adopts what others have long replaced. */
function findStale(adoption: BundleAdoption, {rolls}: History): Breach[] {
	const {version, audit} = adoption;
	const newer = rolls.find(
		(roll) =>
			roll.version > version && roll.atMs + inForceWithinMs < audit.atMs,
	);
	return newer === undefined
		? []
		: [describe(adoption, newer, `with ${newer.version} long rolled`)];
}

function describe(
	{version, audit}: BundleAdoption,
	shown: AuditEntry | unknown,
	circumstance: string,
): Breach {
	return {
		rule,
		detail: `${audit.host} took version ${version} into force ${circumstance}.`,
		evidence: [shown, audit],
	};
}
