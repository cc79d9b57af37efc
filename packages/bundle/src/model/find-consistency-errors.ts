/** Finds inconsistencies between the values of a bundle. */

import type {Bundle, Service} from './bundle.js';

/**
 * Finds inconsistencies that the schema of a bundle does not detect.
 *
 * @param bundle - The bundle.
 * @returns One message per error, with the invalid value.
 */
export function findConsistencyErrors(bundle: Bundle): string[] {
	const dataCentreIds = new Set<string>(bundle.dataCentres.map(({id}) => id));
	const targetIds = bundle.services.flatMap(({targets}) =>
		targets.map(({id}) => id),
	);
	return [
		...findDuplicates(
			'data centre',
			bundle.dataCentres.map(({id}) => id),
		),
		...findDuplicates(
			'service',
			bundle.services.map(({name}) => name),
		),
		...findDuplicates('target', targetIds),
		...bundle.distances
			.flatMap(({between}) => between)
			.filter((id) => !dataCentreIds.has(id))
			.map((id) => `a distance refers to the unknown data centre "${id}"`),
		...bundle.services.flatMap((service) =>
			findServiceErrors(service, dataCentreIds),
		),
	];
}

function findServiceErrors(
	service: Service,
	dataCentreIds: ReadonlySet<string>,
): string[] {
	const unknownDataCentres = service.targets
		.filter(({dataCentre}) => !dataCentreIds.has(dataCentre))
		.map(
			({id, dataCentre}) =>
				`target "${id}" is in the unknown data centre "${dataCentre}"`,
		);
	const excessiveColdAllowances = service.targets
		.filter(({coldAllowance, slots}) => coldAllowance > slots)
		.map(
			({id, coldAllowance, slots}) =>
				`target "${id}" allows ${coldAllowance} requests during a cold start but has only ${slots} slots`,
		);
	const duplicateClasses = findDuplicates(
		`class of service "${service.name}":`,
		service.classes.map(({name}) => name),
	);
	return [
		...unknownDataCentres,
		...excessiveColdAllowances,
		...duplicateClasses,
	];
}

function findDuplicates(kind: string, names: readonly string[]): string[] {
	if (new Set(names).size === names.length) {
		return [];
	}

	const seen = new Set<string>();
	const duplicates = new Set<string>();
	for (const name of names) {
		(seen.has(name) ? duplicates : seen).add(name);
	}

	return [...duplicates].map(
		(name) => `the ${kind} "${name}" is defined more than once`,
	);
}
