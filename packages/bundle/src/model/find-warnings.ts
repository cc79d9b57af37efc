/** Finds problems in a valid bundle. */

import type {BundleVersion} from '@bilberryscale/core';
import type {Bundle, Service, Target} from './bundle.js';

/** All kinds of warnings. */
export const warningKinds = [
	'version-not-above',
	'service-without-targets',
	'service-out',
	'rest-too-small',
	'connections-over-limit',
] as const;

/** The kind of a warning. */
export type WarningKind = (typeof warningKinds)[number];

/** A warning for operators. */
export type Warning = {
	readonly kind: WarningKind;
	/** One sentence that includes the values concerned. */
	readonly message: string;
};

/** The expected deployment against which a bundle is checked. */
export type WarningContext = {
	/** The last published version. */
	readonly lastPublishedVersion?: BundleVersion;
	/** The number of entry hosts that share the connections of a target. */
	readonly hostCount?: number;
	/** The expected load, as a fraction of all slots of a service. */
	readonly expectedLoad: number;
};

/**
 * Finds problems of which operators should be warned.
 *
 * @param bundle - The bundle.
 * @param context - The expected deployment.
 * @returns The warnings.
 */
export function findWarnings(
	bundle: Bundle,
	context: WarningContext,
): readonly Warning[] {
	const drained = new Set<string>(
		bundle.dataCentres.filter(({state}) => state === 'out').map(({id}) => id),
	);
	return [
		...checkVersion(bundle, context),
		...bundle.services.flatMap((service) => [
			...checkCapacity(service, drained, context.expectedLoad),
			...checkConnections(service, context.hostCount),
		]),
	];
}

function checkVersion(bundle: Bundle, context: WarningContext): Warning[] {
	const {lastPublishedVersion} = context;
	return lastPublishedVersion === undefined ||
		bundle.version > lastPublishedVersion
		? []
		: [
				{
					kind: 'version-not-above',
					message: `version ${bundle.version} is not above ${lastPublishedVersion}, the last published version; hosts would refuse it`,
				},
			];
}

function checkCapacity(
	{name, targets}: Service,
	drained: ReadonlySet<string>,
	expectedLoad: number,
): Warning[] {
	const totalSlots = countSlots(targets);
	const remainingSlots = countSlots(
		targets.filter((item) => !drained.has(item.dataCentre)),
	);
	if (totalSlots === 0) {
		const message = `service "${name}" has no targets; every request is refused`;
		return [{kind: 'service-without-targets', message}];
	}

	if (remainingSlots === 0) {
		const message = `service "${name}" has no targets outside the drained data centres; every request is refused`;
		return [{kind: 'service-out', message}];
	}

	const neededSlots = Math.ceil(totalSlots * expectedLoad);
	const message = `service "${name}" keeps ${remainingSlots} of ${totalSlots} slots while data centres are drained (${[...drained].join(', ')}); a load of ${expectedLoad} needs ${neededSlots}`;
	return remainingSlots < neededSlots
		? [{kind: 'rest-too-small', message}]
		: [];
}

function checkConnections(
	service: Service,
	hostCount: number | undefined,
): Warning[] {
	return service.targets
		.filter(
			({connections}) => hostCount !== undefined && hostCount > connections,
		)
		.map(({id, connections}) => ({
			kind: 'connections-over-limit',
			message: `target "${id}" accepts ${connections} connections, but ${hostCount} entry hosts need at least one each`,
		}));
}

function countSlots(targets: readonly Target[]): number {
	return targets.reduce((sum, {slots}) => sum + slots, 0);
}
