/**
 * Runs the Mongolian deployment under load, drains a data centre for some of the
 * time, and prints a summary for each service.
 */

import fs from 'node:fs';
import process from 'node:process';
import {setTimeout as sleep} from 'node:timers/promises';
import {Cluster} from '../cluster/cluster.js';
import {
	countRepeatedRuns,
	summariseCalls,
	type ServiceSummary,
} from '../cluster/summarise-calls.js';
import {
	getDeploymentOrThrow,
	type DeployedService,
	type Deployment,
} from '../deployment/deployment.js';
import type {CallRecord, ServiceLoad} from '../load/load-plan.js';

const loadDurationMs = 30_000;
const warmupMs = 3000;
const drainAtMs = 10_000;
const returnAtMs = 20_000;
const utilisation = 0.4;
const seed = 1;
const msPerSecond = 1000;

const mongolia = getDeploymentOrThrow('mongolia');
logProgress(`starting ${mongolia.entryHosts} entry processes and the targets`);
const demoCluster = await Cluster.start({
	deployment: mongolia,
	entryCount: mongolia.entryHosts,
	seed,
});
try {
	await runDemo(mongolia, demoCluster);
} finally {
	await demoCluster.stop();
	logProgress('all processes have stopped');
}

process.exit(0);

async function runDemo(
	deployment: Deployment,
	cluster: Cluster,
): Promise<void> {
	const services = deployment.services.map((service) =>
		makeServiceLoad(deployment, service),
	);
	logProgress(
		`callers on ${services.length} services for ${loadDurationMs / msPerSecond} s`,
	);
	const {child, historyFile} = cluster.startLoad({
		services,
		durationMs: loadDurationMs,
		seed,
	});
	await child.waitForOutput('ready');
	await sleep(drainAtMs);
	logProgress('operators drain the data centre "west"');
	cluster.publishBundle(['west']);
	await sleep(returnAtMs - drainAtMs);
	logProgress('operators return it to service');
	cluster.publishBundle([]);
	await child.waitForExit();
	const records = fs
		.readFileSync(historyFile, 'utf8')
		.split('\n')
		.filter((line) => line !== '')
		.map((line) => JSON.parse(line) as CallRecord);
	console.log('\nwhole run, including the start with cold processes');
	printTable(summariseCalls(records));
	const fromMs = Math.min(...records.map(({sentAtMs}) => sentAtMs)) + warmupMs;
	console.log(
		`\nfrom ${warmupMs / msPerSecond} s on, while the data centre is drained and returned`,
	);
	printTable(
		summariseCalls(records.filter(({sentAtMs}) => sentAtMs >= fromMs)),
	);
	console.log(`\nrepeated runs: ${countRepeatedRuns(cluster.readRuns())}`);
}

function makeServiceLoad(
	deployment: Deployment,
	service: DeployedService,
): ServiceLoad {
	const capacity =
		(service.targets * deployment.slots * msPerSecond) / service.serviceTimeMs;
	return {
		service: service.name,
		callsPerSecond: capacity * utilisation,
		method: service.idempotency === 'none' ? 'POST' : 'GET',
		callerClass: service.classes[0]!,
	};
}

function printTable(summaries: readonly ServiceSummary[]): void {
	console.log(
		formatRow(['service', 'served', 'refused', 'p50 ms', 'p99 ms', 'p99.9 ms']),
	);
	for (const summary of summaries) {
		const refused = [...summary.refused]
			.map(([kind, count]) => `${kind} ${count}`)
			.join(', ');
		console.log(
			formatRow([
				summary.service,
				String(summary.served),
				refused || '0',
				summary.p50Ms.toFixed(1),
				summary.p99Ms.toFixed(1),
				summary.p999Ms.toFixed(1),
			]),
		);
	}
}

function formatRow(cells: readonly string[]): string {
	return cells.map((cell) => cell.padEnd(20)).join(' ');
}

function logProgress(message: string): void {
	console.log(`[${new Date().toISOString().slice(11, 19)}] ${message}`);
}
