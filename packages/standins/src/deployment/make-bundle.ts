/** Makes the routing bundle of a deployment. */

import type {Bundle, Service} from '@bilberryscale/bundle';
import {
	makeId,
	type BundleVersion,
	type CallerClass,
	type DataCentreId,
	type ServiceName,
	type TargetId,
} from '@bilberryscale/core';
import type {TargetLocation} from './address-plan.js';
import type {DeployedService, Deployment} from './deployment.js';

const defaultLimits = {
	queueLength: 64,
	queueTimeMs: 500,
	timeoutMs: 5000,
	bodyBytes: 1_000_000,
};
const defaultRetryBudget = {share: 0.1, attempts: 3};
const defaultProbeLimits = {callsPerSecond: 10, bytesPerSecond: 10_000};

/** The deployment, targets and state that a bundle describes. */
export type BundleOptions = {
	readonly deployment: Deployment;
	readonly targets: readonly TargetLocation[];
	readonly version: number;
	/** The data centres that get no new requests; none by default. */
	readonly drainedDataCentres?: readonly string[];
};

/**
 * Makes the bundle of a deployment, with default limits, retry budget and probe
 * limits for every service.
 *
 * @param options - The deployment, its targets, the version and the drained data centres.
 * @returns The bundle.
 */
export function makeBundle(options: BundleOptions): Bundle {
	const {deployment, version, drainedDataCentres = []} = options;
	const dataCentres = deployment.dataCentres.map((name) =>
		makeId<DataCentreId>(name),
	);
	return {
		version: makeId<BundleVersion>(version),
		dataCentres: dataCentres.map((id) => ({
			id,
			state: drainedDataCentres.includes(id) ? 'out' : 'in',
		})),
		distances: dataCentres.flatMap((first, index) =>
			dataCentres.slice(index + 1).map((second) => ({
				between: [first, second] as const,
				delayMs: deployment.delayMs,
			})),
		),
		services: deployment.services.map((service) =>
			makeService(service, options),
		),
	};
}

function makeService(
	service: DeployedService,
	options: BundleOptions,
): Service {
	const {deployment} = options;
	return {
		name: makeId<ServiceName>(service.name),
		idempotency: service.idempotency,
		classes: service.classes.map((name) => ({
			name: makeId<CallerClass>(name),
			weight: 1,
		})),
		limits: defaultLimits,
		retry: defaultRetryBudget,
		measuring: defaultProbeLimits,
		targets: options.targets
			.filter((target) => target.service === service.name)
			.map((target) => ({
				id: makeId<TargetId>(target.id),
				address: target.address,
				port: target.port,
				dataCentre: makeId<DataCentreId>(target.dataCentre),
				slots: deployment.slots,
				connections: deployment.connections,
				coldAllowance: deployment.coldAllowance,
			})),
	};
}
