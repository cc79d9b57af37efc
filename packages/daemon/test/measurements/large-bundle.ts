/** Bundles of any size for measurements. */

import type {Bundle, Service, Target} from '@bilberryscale/bundle';
import {
	makeId,
	type BundleVersion,
	type CallerClass,
	type DataCentreId,
	type ServiceName,
	type TargetId,
} from '@bilberryscale/core';

/** The size of a bundle. */
export type BundleSize = {
	readonly services: number;
	readonly targets: number;
	readonly dataCentres: number;
};

const targetPort = 8000;
const targetsPerSubnet = 250;

/**
 * Makes a bundle of the given size.
 *
 * @param size - The number of services, targets and data centres.
 * @param version - The bundle version; it determines which service's targets have extra slots, and how many.
 * @returns The bundle.
 */
export function makeLargeBundle(size: BundleSize, version: number): Bundle {
	const dataCentreIds = Array.from({length: size.dataCentres}, (_, index) =>
		makeId<DataCentreId>(`data-centre-${index}`),
	);
	const changedService = version % size.services;
	return {
		version: makeId<BundleVersion>(version),
		dataCentres: dataCentreIds.map((id) => ({id, state: 'in'})),
		distances: dataCentreIds.flatMap((first, index) =>
			dataCentreIds.slice(index + 1).map((second) => ({
				between: [first, second] as const,
				delayMs: 1.5,
			})),
		),
		services: Array.from({length: size.services}, (_, index) =>
			makeService(index, size, index === changedService ? version : 0),
		),
	};
}

function makeService(
	index: number,
	size: BundleSize,
	extraSlots: number,
): Service {
	const firstTarget = Math.floor((index * size.targets) / size.services);
	const endTarget = Math.floor(((index + 1) * size.targets) / size.services);
	return {
		name: makeId<ServiceName>(`consultation-service-${index}`),
		idempotency: 'by-method',
		classes: ['reader', 'journalist'].map((name) => ({
			name: makeId<CallerClass>(name),
			weight: 1,
		})),
		limits: {
			queueLength: 64,
			queueTimeMs: 500,
			timeoutMs: 5000,
			bodyBytes: 1_000_000,
		},
		retry: {share: 0.1, attempts: 3},
		measuring: {callsPerSecond: 10, bytesPerSecond: 10_000},
		targets: Array.from({length: endTarget - firstTarget}, (_, offset) =>
			makeTarget(firstTarget + offset, size, extraSlots),
		),
	};
}

function makeTarget(
	index: number,
	size: BundleSize,
	extraSlots: number,
): Target {
	return {
		id: makeId<TargetId>(`consultation-target-${index}`),
		address: `10.20.${Math.floor(index / targetsPerSubnet)}.${index % targetsPerSubnet}`,
		port: targetPort,
		dataCentre: makeId<DataCentreId>(`data-centre-${index % size.dataCentres}`),
		slots: 4 + extraSlots,
		connections: 220,
		coldAllowance: 1,
	};
}
