/** The scenarios by name. */

import type {Deployment} from '@bilberryscale/standins';
import type {Scenario} from './scenario.js';

/** The services that an experiment on one machine runs with. */
const servicesOfDeployment: Readonly<Record<string, readonly string[]>> = {
	mongolia: ['closed-archive', 'ministry-summaries'],
	switzerland: ['spill-history', 'rainfall-archive'],
};

const durationMs = 8000;
const rollDurationMs = 12_000;
const slowFactor = 5;

type ScenarioMaker = (deployment: Deployment) => Scenario;

const makers = {
	'steady-50': (deployment) => makeSteady(deployment, 0.5),
	'steady-70': (deployment) => makeSteady(deployment, 0.7),
	'steady-85': (deployment) => makeSteady(deployment, 0.85),
	'burst-150': (deployment) => makeSteady(deployment, 1.5),
	'slow-target': makeSlowTarget,
	'data-centre': makeDataCentre,
	'one-overloaded': makeOneOverloaded,
	'class-ten-times': makeClassTenTimes,
} as const satisfies Record<string, ScenarioMaker>;

/** The names of the scenarios. */
export const scenarioNames = Object.keys(makers) as ScenarioName[];

/** One of the names. */
export type ScenarioName = keyof typeof makers;

/**
 * Makes a scenario for a deployment.
 *
 * @param name - The name of the scenario.
 * @param whole - The deployment.
 * @returns The scenario, with the services that one machine can carry.
 */
export function makeScenario(name: ScenarioName, whole: Deployment): Scenario {
	const kept = servicesOfDeployment[whole.name]!;
	const services = whole.services.filter((item) => kept.includes(item.name));
	return makers[name]({...whole, services});
}

function makeSteady(deployment: Deployment, utilisation: number): Scenario {
	return {
		deployment,
		loads: deployment.services.map(({name}) => ({
			service: name,
			utilisation,
			classIndex: 0,
		})),
		slowTargets: [],
		rolls: [],
		durationMs,
	};
}

function makeSlowTarget(deployment: Deployment): Scenario {
	const slowTargets = deployment.services.map(({name}) => ({
		id: `${name}-1`,
		factor: slowFactor,
	}));
	return {...makeSteady(deployment, 0.6), slowTargets};
}

function makeDataCentre(deployment: Deployment): Scenario {
	return {
		...makeSteady(deployment, 0.5),
		rolls: [
			{atMs: 3000, out: [deployment.dataCentres[1]!]},
			{atMs: 7000, out: []},
		],
		durationMs: rollDurationMs,
	};
}

function makeOneOverloaded(deployment: Deployment): Scenario {
	const [first, ...others] = makeSteady(deployment, 0.6).loads;
	return {
		...makeSteady(deployment, 0.6),
		loads: [{...first!, utilisation: 1.5}, ...others],
	};
}

/** One class asks for ten times the other's share, together over capacity. */
function makeClassTenTimes(deployment: Deployment): Scenario {
	const loads = deployment.services.flatMap(({name}) => [
		{service: name, utilisation: 0.15, classIndex: 0},
		{service: name, utilisation: 1.35, classIndex: 1},
	]);
	return {...makeSteady(deployment, 1), loads};
}
