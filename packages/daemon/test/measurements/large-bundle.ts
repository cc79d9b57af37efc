/** Makes a bundle of any size for measurements. */

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

const lowPort = 8000;
const subnet = 250;

/**
 * Makes a bundle.
 *
 * @param size - How many services, targets and data centres it has.
 * @param version - Its version; it changes the slots of one service's targets.
 * @returns The bundle.
 */
export function makeLargeBundle(size: BundleSize, version: number): Bundle {
	const centres = Array.from({length: size.dataCentres}, (_, index) =>
		makeId<DataCentreId>(`data-centre-${index}`),
	);
	const changed = version % size.services;
	return {
		version: makeId<BundleVersion>(version),
		dataCentres: centres.map((id) => ({id, state: 'in'})),
		distances: centres.flatMap((first, index) =>
			centres.slice(index + 1).map((second) => ({
				between: [first, second] as const,
				delayMs: 1.5,
			})),
		),
		services: Array.from({length: size.services}, (_, index) =>
			makeService(index, size, index === changed ? version : 0),
		),
	};
}

function makeService(index: number, size: BundleSize, step: number): Service {
	const first = Math.floor((index * size.targets) / size.services);
	const next = Math.floor(((index + 1) * size.targets) / size.services);
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
		targets: Array.from({length: next - first}, (_, offset) =>
			makeTarget(first + offset, size, step),
		),
	};
}

function makeTarget(index: number, size: BundleSize, step: number): Target {
	return {
		id: makeId<TargetId>(`consultation-target-${index}`),
		address: `10.20.${Math.floor(index / subnet)}.${index % subnet}`,
		port: lowPort,
		dataCentre: makeId<DataCentreId>(`data-centre-${index % size.dataCentres}`),
		slots: 4 + step,
		connections: 220,
		coldAllowance: 1,
	};
}
