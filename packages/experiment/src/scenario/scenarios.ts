/** Predefined scenarios, by name. */

import type {Deployment, TargetBehaviour} from '@bilberryscale/standins';
import type {Scenario, ScenarioStep} from './scenario.js';

/** Services of each deployment that an experiment runs, few enough for one machine. */
const selectedServices: Readonly<Record<string, readonly string[]>> = {
	mongolia: ['ministry-summaries'],
	switzerland: ['spill-history'],
};

const defaultDurationMs = 10_000;
const drainDurationMs = 12_000;
const slowTargetSlowdown = 5;
const coldStartAtMs = 3000;
const coldStartDurationMs = 20_000;

type ScenarioFactory = (deployment: Deployment) => Scenario;

const scenarioFactories = {
	'steady-50': (deployment) => makeSteadyLoad(deployment, 0.5),
	'steady-70': (deployment) => makeSteadyLoad(deployment, 0.7),
	'steady-85': (deployment) => makeSteadyLoad(deployment, 0.85),
	'burst-150': (deployment) => makeSteadyLoad(deployment, 1.5),
	'slow-target': (deployment) =>
		makeFaultyTarget(deployment, 0.6, {slowdown: slowTargetSlowdown}),
	'lying-target': (deployment) =>
		makeFaultyTarget(deployment, 0.6, {loadReporting: 'zero', slowdown: 2}),
	'frozen-reports': (deployment) =>
		makeFaultyTarget(deployment, 0.6, {loadReporting: 'frozen'}),
	'noisy-targets': makeStallingTargets,
	'cold-target': (deployment) => makeColdStart(deployment, [1]),
	'all-cold': (deployment) => makeColdStart(deployment, undefined),
	'data-centre': makeDataCentreDrain,
	'class-ten-times': makeUnequalClasses,
} as const satisfies Record<string, ScenarioFactory>;

/** Names of all predefined scenarios. */
export const scenarioNames = Object.keys(scenarioFactories) as ScenarioName[];

/** Name of a predefined scenario. */
export type ScenarioName = keyof typeof scenarioFactories;

/**
 * Makes a scenario for a deployment, reduced to the services that one machine can run.
 *
 * @param name - Name of the scenario.
 * @param fullDeployment - Deployment with all its services.
 * @returns The scenario for the reduced deployment.
 */
export function makeScenario(
	name: ScenarioName,
	fullDeployment: Deployment,
): Scenario {
	const serviceNames = selectedServices[fullDeployment.name]!;
	const services = fullDeployment.services.filter((item) =>
		serviceNames.includes(item.name),
	);
	return scenarioFactories[name]({...fullDeployment, services});
}

function makeSteadyLoad(deployment: Deployment, utilisation: number): Scenario {
	return {
		deployment,
		loads: deployment.services.map(({name}) => ({
			service: name,
			utilisation,
			classIndex: 0,
		})),
		steps: [],
		durationMs: defaultDurationMs,
	};
}

/** Injects a fault into the first target of each service from the start. */
function makeFaultyTarget(
	deployment: Deployment,
	utilisation: number,
	fault: Partial<TargetBehaviour>,
): Scenario {
	return {
		...makeSteadyLoad(deployment, utilisation),
		steps: [makeFaultStep(deployment, fault, [1])],
	};
}

/** All targets stall at random from the start. */
function makeStallingTargets(deployment: Deployment): Scenario {
	const stalls = {perSecond: 4, shortestMs: 5, longestMs: 50};
	return {
		...makeSteadyLoad(deployment, 0.6),
		steps: [makeFaultStep(deployment, {stalls}, undefined)],
	};
}

/** Targets turn cold and change their boot ID during the run. */
function makeColdStart(
	deployment: Deployment,
	targetNumbers: readonly number[] | undefined,
): Scenario {
	const targetIds = getTargetIds(deployment, targetNumbers);
	const step: ScenarioStep = {
		atMs: coldStartAtMs,
		async apply({targetsControl}) {
			await Promise.all(
				targetIds.map(async (id) =>
					targetsControl.performAction(id, {
						kind: 'turn-cold',
						changesBootId: true,
					}),
				),
			);
		},
	};
	return {
		...makeSteadyLoad(deployment, 0.6),
		steps: [step],
		durationMs: coldStartDurationMs,
	};
}

function makeFaultStep(
	deployment: Deployment,
	fault: Partial<TargetBehaviour>,
	targetNumbers: readonly number[] | undefined,
): ScenarioStep {
	const targetIds = getTargetIds(deployment, targetNumbers);
	return {
		atMs: 0,
		async apply({targetsControl}) {
			await Promise.all(
				targetIds.map(async (id) => targetsControl.setBehaviour(id, fault)),
			);
		},
	};
}

/** Gets the IDs of the targets with these numbers in each service, or of all targets. */
function getTargetIds(
	deployment: Deployment,
	targetNumbers: readonly number[] | undefined,
): string[] {
	return deployment.services.flatMap(({name, targets}) =>
		Array.from({length: targets}, (_, index) => index + 1)
			.filter((number) => targetNumbers?.includes(number) ?? true)
			.map((number) => `${name}-${number}`),
	);
}

/** Drains the second data centre and restores it later. */
function makeDataCentreDrain(deployment: Deployment): Scenario {
	const drainedDataCentres = [deployment.dataCentres[1]!];
	return {
		...makeSteadyLoad(deployment, 0.5),
		steps: [
			{
				atMs: 3000,
				apply(cluster) {
					cluster.publishBundle(drainedDataCentres);
				},
			},
			{
				atMs: 7000,
				apply(cluster) {
					cluster.publishBundle([]);
				},
			},
		],
		durationMs: drainDurationMs,
	};
}

/** Two classes offer 1.5 times the capacity; the first sends a tenth of the calls. */
function makeUnequalClasses(deployment: Deployment): Scenario {
	const loads = deployment.services.flatMap(({name}) => [
		{service: name, utilisation: 0.15, classIndex: 0},
		{service: name, utilisation: 1.35, classIndex: 1},
	]);
	return {...makeSteadyLoad(deployment, 1), loads};
}
