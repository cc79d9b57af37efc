/** Reads the routing plan in force from a file or from a gateway host. */

import {decodeItem, decodePlanText} from '@bilberryscale/fleet-platform';
import type {
	PublishedChanges,
	RegisteredTarget,
	RoutingPlan,
} from '@bilberryscale/gateway';
import type {CommandContext} from '../commands/command.js';
import {isHostAddress} from '../hosts/host-address.js';
import {UsageError} from '../output/usage-error.js';
import {readTextFileOrThrow} from './read-text-file.js';

/** A plan in force and where it was read from. */
export type PublishedPlan = {
	/** The file or the address of the host. */
	readonly source: string;
	readonly plan: RoutingPlan;
	/** The registered targets of all services; undefined if the source does not list them. */
	readonly targets?: readonly RegisteredTarget[];
};

/**
 * Reads a plan from a file.
 *
 * @param file - The path.
 * @returns The plan.
 * @throws UsageError if the file cannot be read or holds no valid plan.
 */
export function readPublishedPlanOrThrow(file: string): PublishedPlan {
	const plan = decodePlanText(readTextFileOrThrow(file));
	if (plan.isErr()) {
		throw new UsageError(`${file}: ${plan.error}`);
	}

	return {source: file, plan: plan.value};
}

/**
 * Reads the published plan and the registered targets from a host.
 *
 * @param host - The IP address and the port for other hosts, as `address:port`.
 * @param context - Reads from the host.
 * @returns The plan and the targets.
 * @throws UsageError if the address is malformed, if the host does not respond or if it has no valid plan.
 */
export async function fetchPublishedPlanOrThrow(
	host: string,
	{fetchSnapshot}: CommandContext,
): Promise<PublishedPlan> {
	if (!isHostAddress(host)) {
		throw new UsageError(
			`--host: must be an IP address and a port, such as 10.0.0.1:8649; seen: ${host}`,
		);
	}

	const changes = await fetchSnapshot(host);
	if (changes.isErr()) {
		throw new UsageError(`${host}: not reached: ${changes.error}`);
	}

	return {source: host, ...decodeSnapshotOrThrow(host, changes.value)};
}

function decodeSnapshotOrThrow(
	host: string,
	{changes}: PublishedChanges,
): Omit<PublishedPlan, 'source'> {
	const targets: RegisteredTarget[] = [];
	let plan: RoutingPlan | undefined;
	for (const {name, text} of changes) {
		// Hosts ignore items that they can't decode, and so does the check.
		const content =
			text === undefined
				? undefined
				: decodeItem(name, text).unwrapOr(undefined);
		if (content?.kind === 'plan') {
			plan = content.plan;
		} else if (content?.kind === 'target') {
			targets.push(content.target);
		}
	}

	if (plan === undefined) {
		throw new UsageError(`${host}: has no valid configuration`);
	}

	return {plan, targets};
}
