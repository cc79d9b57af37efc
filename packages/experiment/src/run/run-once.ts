/** Runs a scenario once with one policy on a cluster of its own. */

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

/** Options of a run. */
export type RunOptions = {
	readonly scenario: Scenario;
	readonly policy: string;
	readonly entryCount: number;
	readonly seed: number;
};

const msPerSecond = 1000;
/** Start of a run that results exclude, because its calls still open connections. */
export const warmUpMs = 1500;

/**
 * Starts a cluster, runs a scenario on it and stops it.
 *
 * @param options - Scenario, policy and seed.
 * @returns Summary of the run.
 */
export async function runOnce(options: RunOptions): Promise<RunSummary> {
	const {scenario, policy, entryCount, seed} = options;
	const {deployment} = scenario;
	const cluster = await Cluster.start({
		deployment,
		entryCount,
		seed,
		choice: policy,
	});
	try {
		const records = await runLoad(cluster, options);
		const probeCount = await countProbes(cluster);
		return summariseRun(options, records, cluster.readRuns(), probeCount);
	} finally {
		await cluster.stop();
	}
}

/**
 * Gets the call rate at which all slots of a service are busy.
 *
 * @param deployment - Deployment that sets the slots of each target.
 * @param service - Service of the deployment.
 * @returns Calls per second.
 */
export function getCapacityPerSecond(
	deployment: Deployment,
	service: DeployedService,
): number {
	const slots = service.targets * deployment.slots;
	return (slots * msPerSecond) / service.serviceTimeMs;
}

async function countProbes(cluster: Cluster): Promise<number> {
	const counters = await Promise.all(
		cluster.targets.map(async ({id}) => cluster.targetsControl.getCounters(id)),
	);
	return counters.reduce((sum, {loadCalls}) => sum + loadCalls, 0);
}

async function runLoad(
	cluster: Cluster,
	{scenario, seed}: RunOptions,
): Promise<CallRecord[]> {
	const {deployment, durationMs, steps} = scenario;
	const services = scenario.loads.map((load) =>
		makeServiceLoad(deployment, load),
	);
	const {child, historyFile} = cluster.startLoad({services, durationMs, seed});
	await child.waitForOutput('ready');
	let elapsedMs = 0;
	for (const {atMs, apply} of steps) {
		await sleep(atMs - elapsedMs);
		elapsedMs = atMs;
		await apply(cluster);
	}

	await child.waitForExit();
	return fs
		.readFileSync(historyFile, 'utf8')
		.split('\n')
		.filter((line) => line !== '')
		.map((line) => JSON.parse(line) as CallRecord);
}

function makeServiceLoad(
	deployment: Deployment,
	load: ScenarioLoad,
): ServiceLoad {
	const service = deployment.services.find(({name}) => name === load.service)!;
	return {
		service: load.service,
		callsPerSecond:
			getCapacityPerSecond(deployment, service) * load.utilisation,
		method: service.idempotency === 'none' ? 'POST' : 'GET',
		callerClass: service.classes[load.classIndex]!,
	};
}
