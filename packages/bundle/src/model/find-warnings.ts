/** Finds what is allowed in a bundle but would be regretted. */

import type {BundleVersion} from '@bilberryscale/core';
import type {Bundle, Service, Target} from './bundle.js';

/** Every kind of warning. */
export const warningKinds = [
	'version-not-above',
	'service-without-targets',
	'service-out',
	'rest-too-small',
	'connections-over-limit',
] as const;

/** One of the kinds. */
export type WarningKind = (typeof warningKinds)[number];

/** A warning for operators. */
export type Warning = {
	readonly kind: WarningKind;
	/** One sentence with the values seen. */
	readonly message: string;
};

/** What a bundle is held against. */
export type WarningContext = {
	/** The version that was published last. */
	readonly lastVersion?: BundleVersion;
	/** How many entry hosts share a target's connections. */
	readonly hosts?: number;
	/** The load to expect, as a share of all slots of a service. */
	readonly load: number;
};

/**
 * Finds what operators would regret.
 *
 * @param bundle - The bundle.
 * @param context - What it is held against.
 * @returns The warnings.
 */
export function findWarnings(
	bundle: Bundle,
	context: WarningContext,
): readonly Warning[] {
	const out = new Set<string>(
		bundle.dataCentres.filter(({state}) => state === 'out').map(({id}) => id),
	);
	return [
		...checkVersion(bundle, context),
		...bundle.services.flatMap((service) => [
			...checkCapacity(service, out, context.load),
			...checkConnections(service, context.hosts),
		]),
	];
}

function checkVersion(bundle: Bundle, context: WarningContext): Warning[] {
	const {lastVersion} = context;
	return lastVersion === undefined || bundle.version > lastVersion
		? []
		: [
				{
					kind: 'version-not-above',
					message: `version ${bundle.version} is not above ${lastVersion}, which was published last; no host would take it`,
				},
			];
}

function checkCapacity(
	{name, targets}: Service,
	out: ReadonlySet<string>,
	load: number,
): Warning[] {
	const all = countSlots(targets);
	const rest = countSlots(targets.filter((item) => !out.has(item.dataCentre)));
	if (all === 0) {
		const message = `service "${name}" has no targets; every call is refused`;
		return [{kind: 'service-without-targets', message}];
	}

	if (rest === 0) {
		const message = `service "${name}" has no target in a data centre that is in; every call is refused`;
		return [{kind: 'service-out', message}];
	}

	const needed = Math.ceil(all * load);
	const message = `service "${name}" keeps ${rest} of ${all} slots with the data centres that are out (${[...out].join(', ')}); a load of ${load} needs ${needed}`;
	return rest < needed ? [{kind: 'rest-too-small', message}] : [];
}

function checkConnections(
	service: Service,
	hosts: number | undefined,
): Warning[] {
	return service.targets
		.filter(({connections}) => hosts !== undefined && hosts > connections)
		.map(({id, connections}) => ({
			kind: 'connections-over-limit',
			message: `target "${id}" bears ${connections} connections, but ${hosts} entry hosts need one each at least`,
		}));
}

function countSlots(targets: readonly Target[]): number {
	return targets.reduce((sum, {slots}) => sum + slots, 0);
}
