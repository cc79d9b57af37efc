/** Tells in words what changes from one bundle to another. */

import type {Bundle, Service, Target} from './bundle.js';

type Named = {
	readonly name: string;
	readonly content: unknown;
};

/**
 * Compares two bundles.
 *
 * @param former - The bundle before.
 * @param current - The bundle after.
 * @returns One sentence for each change.
 */
export function diffBundles(
	former: Bundle,
	current: Bundle,
): readonly string[] {
	return [
		...diffValue('the version', former.version, current.version),
		...diffDataCentres(former, current),
		...diffNamed('distance', getDistances(former), getDistances(current)),
		...diffServices(former, current),
	];
}

function diffDataCentres(former: Bundle, current: Bundle): string[] {
	const before = new Map(former.dataCentres.map((item) => [item.id, item]));
	const after = new Map(current.dataCentres.map((item) => [item.id, item]));
	const moved = current.dataCentres
		.filter(({id, state}) => before.has(id) && before.get(id)?.state !== state)
		.map(({id, state}) =>
			state === 'out'
				? `data centre "${id}" is taken out: no new work goes there`
				: `data centre "${id}" is brought back in`,
		);
	const added = current.dataCentres
		.filter(({id}) => !before.has(id))
		.map(({id, state}) => `data centre "${id}" is added and is ${state}`);
	const removed = former.dataCentres
		.filter(({id}) => !after.has(id))
		.map(({id}) => `data centre "${id}" is removed`);
	return [...moved, ...added, ...removed];
}

function getDistances(bundle: Bundle): Named[] {
	return bundle.distances.map(({between, delayMs}) => ({
		name: between.join(' to '),
		content: {delayMs},
	}));
}

function diffServices(former: Bundle, current: Bundle): string[] {
	const before = new Map(former.services.map((item) => [item.name, item]));
	const after = new Map(current.services.map((item) => [item.name, item]));
	const added = current.services
		.filter(({name}) => !before.has(name))
		.map(
			({name, targets}) =>
				`service "${name}" is added with ${targets.length} targets`,
		);
	const removed = former.services
		.filter(({name}) => !after.has(name))
		.map(({name}) => `service "${name}" is removed`);
	const changed = current.services.flatMap((service) => {
		const other = before.get(service.name);
		return other === undefined ? [] : diffService(other, service);
	});
	return [...added, ...removed, ...changed];
}

function diffService(former: Service, current: Service): string[] {
	const {targets: before, ...formerRest} = former;
	const {targets: after, ...currentRest} = current;
	return [
		...diffValue(`service "${current.name}"`, formerRest, currentRest),
		...diffNamed('target', getTargets(before), getTargets(after)),
	];
}

function getTargets(targets: readonly Target[]): Named[] {
	return targets.map((target) => ({name: target.id, content: target}));
}

function diffNamed(
	what: string,
	former: readonly Named[],
	current: readonly Named[],
): string[] {
	const before = new Map(former.map(({name, content}) => [name, content]));
	const after = new Set(current.map(({name}) => name));
	const changed = current.flatMap(({name, content}) =>
		before.has(name)
			? diffValue(`${what} "${name}"`, before.get(name), content)
			: [`${what} "${name}" is added`],
	);
	const removed = former
		.filter(({name}) => !after.has(name))
		.map(({name}) => `${what} "${name}" is removed`);
	return [...changed, ...removed];
}

function diffValue(label: string, former: unknown, current: unknown): string[] {
	if (isObject(former) && isObject(current)) {
		const keys = new Set([...Object.keys(former), ...Object.keys(current)]);
		return [...keys].flatMap((key) =>
			diffValue(joinLabel(label, key), former[key], current[key]),
		);
	}

	const before = JSON.stringify(former);
	const after = JSON.stringify(current);
	return before === after
		? []
		: [`${label} changes from ${before} to ${after}`];
}

function joinLabel(label: string, key: string): string {
	return label.includes(': ') ? `${label}.${key}` : `${label}: ${key}`;
}

function isObject(value: unknown): value is Readonly<Record<string, unknown>> {
	return typeof value === 'object' && value !== null && !Array.isArray(value);
}
