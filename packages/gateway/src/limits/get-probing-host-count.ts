/** Determines among how many hosts the probes of a service's targets are divided. */

/** What this host knows of the fleet. */
export type KnownFleet = {
	/** The number of hosts that this one knows, with itself. */
	readonly knownCount: number;
	/** Whether all hosts that are probably up know this one, and so it knows them. */
	readonly isComplete: boolean;
	/** The number of the service's targets. */
	readonly targetCount: number;
};

/** Lower bound on the number of hosts. */
const minHostCount = 16;
/** Upper bound on the hosts for each target of a service, assumed by a host that may not know all. */
const maxHostsPerTarget = 4;

/**
 * Gets among how many hosts the probes are divided. A host that has just started
 * may know few of the others, so it assumes as many as the targets usually have.
 *
 * @param fleet - What this host knows.
 * @returns The number of hosts.
 */
export function getProbingHostCount({
	knownCount,
	isComplete,
	targetCount,
}: KnownFleet): number {
	return Math.max(
		minHostCount,
		knownCount,
		isComplete ? 0 : maxHostsPerTarget * targetCount,
	);
}
