/** Runs a scenario once with one policy. */

import fs from 'node:fs';
import {setTimeout as sleep} from 'node:timers/promises';
import {
	Cluster,
	type CallRecord,
	type DeployedService,
	type Deployment,
	type ServiceLoad,
} from '@bilberryscale/standins';
import type {Scenario, ScenarioLoad} from '../scenario/scenario.js';
import {summariseRun, type RunSummary} from './run-summary.js';

/** What a run is made from. */
export type RunPlan = {
	readonly scenario: Scenario;
	readonly policy: string;
	readonly entryCount: number;
	readonly seed: number;
};

const msPerSecond = 1000;
/** Calls of the first part of a run meet new connections and are left out. */
export const warmUpMs = 1500;

/**
 * Runs a scenario once.
 *
 * @param plan - The scenario, the policy and the seed.
 * @returns What the run came to.
 */
export async function runOnce(plan: RunPlan): Promise<RunSummary> {
	const {scenario, policy, entryCount, seed} = plan;
	const {deployment} = scenario;
	const cluster = await Cluster.start({
		deployment,
		entryCount,
		seed,
		choice: policy,
	});
	try {
		const records = await runLoad(cluster, plan);
		const measuringCalls = await countMeasuringCalls(cluster);
		return summariseRun(plan, records, cluster.getRuns(), measuringCalls);
	} finally {
		await cluster.stop();
	}
}

/**
 * Gets how many calls a second the slots of a service carry.
 *
 * @param deployment - The deployment.
 * @param service - The service.
 * @returns Calls a second.
 */
export function getCapacity(
	deployment: Deployment,
	service: DeployedService,
): number {
	const slots = service.targets * deployment.slots;
	return (slots * msPerSecond) / service.serviceTimeMs;
}

async function countMeasuringCalls(cluster: Cluster): Promise<number> {
	const counters = await Promise.all(
		cluster.targets.map(async ({id}) => cluster.targetsControl.getCounters(id)),
	);
	return counters.reduce((sum, {loadCalls}) => sum + loadCalls, 0);
}

async function runLoad(
	cluster: Cluster,
	{scenario, seed}: RunPlan,
): Promise<CallRecord[]> {
	const {deployment, durationMs, steps} = scenario;
	const services = scenario.loads.map((load) => makeLoad(deployment, load));
	const {child, historyFile} = cluster.startLoad({services, durationMs, seed});
	await child.waitForOutput('ready');
	let passedMs = 0;
	for (const {atMs, act} of steps) {
		await sleep(atMs - passedMs);
		passedMs = atMs;
		await act(cluster);
	}

	await child.waitForEnd();
	return fs
		.readFileSync(historyFile, 'utf8')
		.split('\n')
		.filter((line) => line !== '')
		.map((line) => JSON.parse(line) as CallRecord);
}

function makeLoad(deployment: Deployment, load: ScenarioLoad): ServiceLoad {
	const service = deployment.services.find(({name}) => name === load.service)!;
	return {
		service: load.service,
		callsPerSecond: getCapacity(deployment, service) * load.utilisation,
		method: service.idempotency === 'none' ? 'POST' : 'GET',
		callerClass: service.classes[load.classIndex]!,
	};
}
