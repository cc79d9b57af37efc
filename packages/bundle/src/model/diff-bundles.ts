/** Describes the differences between two bundles. */

import type {Bundle, Service, Target} from './bundle.js';

type NamedValue = {
	readonly name: string;
	readonly value: unknown;
};

/**
 * Compares two bundles.
 *
 * @param previous - The previous bundle.
 * @param current - The current bundle.
 * @returns One sentence per change.
 */
export function diffBundles(
	previous: Bundle,
	current: Bundle,
): readonly string[] {
	return [
		...diffValue('the version', previous.version, current.version),
		...diffDataCentres(previous, current),
		...diffNamedValues(
			'distance',
			getDistances(previous),
			getDistances(current),
		),
		...diffServices(previous, current),
	];
}

function diffDataCentres(previous: Bundle, current: Bundle): string[] {
	const before = new Map(previous.dataCentres.map((item) => [item.id, item]));
	const after = new Map(current.dataCentres.map((item) => [item.id, item]));
	const changed = current.dataCentres
		.filter(({id, state}) => before.has(id) && before.get(id)?.state !== state)
		.map(({id, state}) =>
			state === 'out'
				? `data centre "${id}" is taken out of service: it gets no new requests`
				: `data centre "${id}" is returned to service`,
		);
	const added = current.dataCentres
		.filter(({id}) => !before.has(id))
		.map(({id, state}) => `data centre "${id}" is added with state ${state}`);
	const removed = previous.dataCentres
		.filter(({id}) => !after.has(id))
		.map(({id}) => `data centre "${id}" is removed`);
	return [...changed, ...added, ...removed];
}

function getDistances(bundle: Bundle): NamedValue[] {
	return bundle.distances.map(({between, delayMs}) => ({
		name: between.join(' to '),
		value: {delayMs},
	}));
}

function diffServices(previous: Bundle, current: Bundle): string[] {
	const before = new Map(previous.services.map((item) => [item.name, item]));
	const after = new Map(current.services.map((item) => [item.name, item]));
	const added = current.services
		.filter(({name}) => !before.has(name))
		.map(
			({name, targets}) =>
				`service "${name}" is added with ${targets.length} targets`,
		);
	const removed = previous.services
		.filter(({name}) => !after.has(name))
		.map(({name}) => `service "${name}" is removed`);
	const changed = current.services.flatMap((service) => {
		const previousService = before.get(service.name);
		return previousService === undefined
			? []
			: diffService(previousService, service);
	});
	return [...added, ...removed, ...changed];
}

function diffService(previous: Service, current: Service): string[] {
	const {targets: before, ...previousSettings} = previous;
	const {targets: after, ...currentSettings} = current;
	return [
		...diffValue(
			`service "${current.name}"`,
			previousSettings,
			currentSettings,
		),
		...diffNamedValues('target', getTargets(before), getTargets(after)),
	];
}

function getTargets(targets: readonly Target[]): NamedValue[] {
	return targets.map((target) => ({name: target.id, value: target}));
}

function diffNamedValues(
	kind: string,
	previous: readonly NamedValue[],
	current: readonly NamedValue[],
): string[] {
	const before = new Map(previous.map(({name, value}) => [name, value]));
	const after = new Set(current.map(({name}) => name));
	const changed = current.flatMap(({name, value}) =>
		before.has(name)
			? diffValue(`${kind} "${name}"`, before.get(name), value)
			: [`${kind} "${name}" is added`],
	);
	const removed = previous
		.filter(({name}) => !after.has(name))
		.map(({name}) => `${kind} "${name}" is removed`);
	return [...changed, ...removed];
}

function diffValue(
	label: string,
	previous: unknown,
	current: unknown,
): string[] {
	if (isObject(previous) && isObject(current)) {
		const keys = new Set([...Object.keys(previous), ...Object.keys(current)]);
		return [...keys].flatMap((key) =>
			diffValue(appendKey(label, key), previous[key], current[key]),
		);
	}

	const before = JSON.stringify(previous);
	const after = JSON.stringify(current);
	return before === after
		? []
		: [`${label} changes from ${before} to ${after}`];
}

function appendKey(label: string, key: string): string {
	return label.includes(': ') ? `${label}.${key}` : `${label}: ${key}`;
}

function isObject(value: unknown): value is Readonly<Record<string, unknown>> {
	return typeof value === 'object' && value !== null && !Array.isArray(value);
}
