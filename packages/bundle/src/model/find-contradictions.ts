/** Finds statements of a bundle that contradict each other. */

import type {Bundle, Service} from './bundle.js';

/**
 * Finds what makes a well-formed bundle unusable.
 *
 * @param bundle - The bundle.
 * @returns One message for each contradiction, with the value seen.
 */
export function findContradictions(bundle: Bundle): string[] {
	const centres = new Set<string>(bundle.dataCentres.map(({id}) => id));
	const targetIds = bundle.services.flatMap(({targets}) =>
		targets.map(({id}) => id),
	);
	return [
		...findRepeats(
			'data centre',
			bundle.dataCentres.map(({id}) => id),
		),
		...findRepeats(
			'service',
			bundle.services.map(({name}) => name),
		),
		...findRepeats('target', targetIds),
		...bundle.distances
			.flatMap(({between}) => between)
			.filter((id) => !centres.has(id))
			.map((id) => `a distance names the unknown data centre "${id}"`),
		...bundle.services.flatMap((service) =>
			findServiceContradictions(service, centres),
		),
	];
}

function findServiceContradictions(
	service: Service,
	centres: ReadonlySet<string>,
): string[] {
	const strays = service.targets
		.filter(({dataCentre}) => !centres.has(dataCentre))
		.map(
			({id, dataCentre}) =>
				`target "${id}" is in the unknown data centre "${dataCentre}"`,
		);
	const overgenerous = service.targets
		.filter(({coldAllowance, slots}) => coldAllowance > slots)
		.map(
			({id, coldAllowance, slots}) =>
				`target "${id}" allows ${coldAllowance} requests when cold but has ${slots} slots`,
		);
	const classes = findRepeats(
		`class of service "${service.name}":`,
		service.classes.map(({name}) => name),
	);
	return [...strays, ...overgenerous, ...classes];
}

function findRepeats(what: string, names: readonly string[]): string[] {
	if (new Set(names).size === names.length) {
		return [];
	}

	const seen = new Set<string>();
	const repeats = new Set<string>();
	for (const name of names) {
		(seen.has(name) ? repeats : seen).add(name);
	}

	return [...repeats].map(
		(name) => `the ${what} "${name}" stands more than once`,
	);
}
