/** The demo: the Mongolian deployment, a data centre out and in, a table. */

import fs from 'node:fs';
import process from 'node:process';
import {setTimeout as sleep} from 'node:timers/promises';
import {Cluster} from '../cluster/cluster.js';
import {
	countRunTwice,
	summarise,
	type ServiceSummary,
} from '../cluster/summary.js';
import {
	getDeploymentOrThrow,
	type DeployedService,
	type Deployment,
} from '../deployment/deployment.js';
import type {CallRecord, ServiceLoad} from '../load/load-plan.js';

const durationMs = 30_000;
const startMs = 3000;
const outAtMs = 10_000;
const backAtMs = 20_000;
const utilisation = 0.4;
const seed = 1;
const msPerSecond = 1000;

const deployment = getDeploymentOrThrow('mongolia');
say(`starting ${deployment.entryHosts} entry processes and the targets`);
const cluster = await Cluster.start({
	deployment,
	entryCount: deployment.entryHosts,
	seed,
});
try {
	await runDemo(deployment, cluster);
} finally {
	await cluster.stop();
	say('everything that was started has ended');
}

process.exit(0);

async function runDemo(plan: Deployment, running: Cluster): Promise<void> {
	const services = plan.services.map((service) => makeLoad(plan, service));
	say(
		`callers on ${services.length} services for ${durationMs / msPerSecond} s`,
	);
	const {child, historyFile} = running.startLoad({services, durationMs, seed});
	await child.waitForOutput('ready');
	await sleep(outAtMs);
	say('operators take the data centre "west" out');
	running.roll(['west']);
	await sleep(backAtMs - outAtMs);
	say('operators take it in again');
	running.roll([]);
	await child.waitForEnd();
	const records = fs
		.readFileSync(historyFile, 'utf8')
		.split('\n')
		.filter((line) => line !== '')
		.map((line) => JSON.parse(line) as CallRecord);
	console.log('\nthe whole run, its start with cold processes included');
	printTable(summarise(records));
	const fromMs = Math.min(...records.map(({sentAtMs}) => sentAtMs)) + startMs;
	console.log(
		`\nfrom ${startMs / msPerSecond} s on, the data centre out and in`,
	);
	printTable(summarise(records.filter(({sentAtMs}) => sentAtMs >= fromMs)));
	console.log(`\nrun twice: ${countRunTwice(running.getRuns())}`);
}

function makeLoad(plan: Deployment, service: DeployedService): ServiceLoad {
	const capacity =
		(service.targets * plan.slots * msPerSecond) / service.serviceTimeMs;
	return {
		service: service.name,
		callsPerSecond: capacity * utilisation,
		method: service.idempotency === 'none' ? 'POST' : 'GET',
		callerClass: service.classes[0]!,
	};
}

function printTable(summaries: readonly ServiceSummary[]): void {
	console.log(
		row(['service', 'served', 'refused', 'p50 ms', 'p99 ms', 'p99.9 ms']),
	);
	for (const summary of summaries) {
		const refused = [...summary.refused]
			.map(([kind, count]) => `${kind} ${count}`)
			.join(', ');
		console.log(
			row([
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

function row(cells: readonly string[]): string {
	return cells.map((cell) => cell.padEnd(20)).join(' ');
}

function say(message: string): void {
	console.log(`[${new Date().toISOString().slice(11, 19)}] ${message}`);
}
