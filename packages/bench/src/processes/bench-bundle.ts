/** A bundle of any size; calls go to the targets of the first service. */

/** The size of a bundle. */
export type BenchSize = {
	readonly services: number;
	/** The targets of all services together. */
	readonly targets: number;
	/** The targets of the service that is called. */
	readonly servedTargets: number;
};

const slots = 64;
const connections = 4000;

/**
 * Gets a bundle.
 *
 * @param size - Its size.
 * @param addresses - The IP numbers of the targets of the first service.
 * @param port - The port of all targets.
 * @returns The document of the bundle.
 */
export function getBenchBundle(
	size: BenchSize,
	addresses: readonly string[],
	port: number,
): Record<string, unknown> {
	const rest = Math.max(1, size.services - 1);
	const perService = Math.ceil((size.targets - size.servedTargets) / rest);
	return {
		version: 1,
		dataCentres: [{id: 'east', state: 'in'}],
		distances: [],
		services: Array.from({length: size.services}, (_, index) =>
			getService(
				index,
				index === 0 ? addresses : fakeAddresses(perService),
				port,
			),
		),
	};
}

function getService(
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

function fakeAddresses(count: number): string[] {
	return Array.from(
		{length: count},
		(_, index) => `127.251.${1 + Math.floor(index / 200)}.${1 + (index % 200)}`,
	);
}
