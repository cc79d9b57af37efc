/** Bundles of a given size for benchmarks. Calls go only to the first service. */

/** Size of a bundle. */
export type BenchBundleSize = {
	readonly services: number;
	/** Total targets of all services. */
	readonly targets: number;
	/** Targets of the first service, which receives all calls. */
	readonly calledServiceTargets: number;
};

const slots = 64;
const connections = 4000;

/**
 * Makes a bundle with one data centre.
 *
 * @param size - Number of services and targets.
 * @param addresses - IP addresses of the targets of the first service.
 * @param port - Port of the first service; the others use the ports after it.
 * @returns The bundle document.
 */
export function makeBenchBundle(
	size: BenchBundleSize,
	addresses: readonly string[],
	port: number,
): Record<string, unknown> {
	const otherServices = Math.max(1, size.services - 1);
	const targetsPerOtherService = Math.ceil(
		(size.targets - size.calledServiceTargets) / otherServices,
	);
	return {
		version: 1,
		dataCentres: [{id: 'east', state: 'in'}],
		distances: [],
		services: Array.from({length: size.services}, (_, index) =>
			makeService(
				index,
				index === 0 ? addresses : makeUnusedAddresses(targetsPerOtherService),
				port,
			),
		),
	};
}

function makeService(
	index: number,
	addresses: readonly string[],
	port: number,
): Record<string, unknown> {
	return {
		name: `service-${index}`,
		idempotency: 'by-method',
		classes: [{name: 'reader', weight: 1}],
		limits: {
			queueLength: 1000,
			queueTimeMs: 1000,
			timeoutMs: 5000,
			bodyBytes: 100_000,
		},
		retry: {share: 0.1, attempts: 2},
		measuring: {callsPerSecond: 5, bytesPerSecond: 1000},
		targets: addresses.map((address, number) => ({
			id: `service-${index}-${number}`,
			address,
			port: port + (index === 0 ? 0 : index),
			dataCentre: 'east',
			slots,
			connections,
			coldAllowance: slots,
		})),
	};
}

function makeUnusedAddresses(count: number): string[] {
	return Array.from(
		{length: count},
		(_, index) => `127.251.${1 + Math.floor(index / 200)}.${1 + (index % 200)}`,
	);
}
