/**
 * Measures the network traffic and the processor time that the connections
 * between peers cost a host, without calls: measure-peers <host count>...
 */

import {execFileSync} from 'node:child_process';
import fs from 'node:fs';
import process from 'node:process';
import {setTimeout as sleep} from 'node:timers/promises';
import {Cluster} from '../cluster/cluster.js';
import {ports} from '../deployment/address-plan.js';
import {getDeploymentOrThrow} from '../deployment/deployment.js';

type Usage = {
	readonly bytes: number;
	readonly cpuMs: number;
};

const maxSocketListBytes = 64 * 1024 * 1024;
const measureMs = 20_000;
const msPerTick = 10;
const warmupMs = 5000;
const msPerSecond = 1000;
const userTicksField = 11;
const systemTicksField = 12;
const localAddressField = 3;

for (const count of process.argv.slice(2).map(Number)) {
	await measure(count);
}

async function measure(entryCount: number): Promise<void> {
	const deployment = getDeploymentOrThrow('mongolia');
	const cluster = await Cluster.start({deployment, entryCount, seed: 1});
	await sleep(warmupMs);
	const before = getUsages(cluster);
	await sleep(measureMs);
	const after = getUsages(cluster);
	const bytes = after.map((usage, index) => usage.bytes - before[index]!.bytes);
	const cpuMs = after.map((usage, index) => usage.cpuMs - before[index]!.cpuMs);
	const seconds = measureMs / msPerSecond;
	process.stdout.write(
		`${entryCount} hosts: ${(getMean(bytes) / seconds).toFixed(0)} bytes/s per host in both directions, ${((100 * getMean(cpuMs)) / measureMs).toFixed(2)} % of a core per host\n`,
	);
	await cluster.stop();
}

function getUsages(cluster: Cluster): Usage[] {
	const sockets = execFileSync('ss', ['-tinH'], {
		encoding: 'utf8',
		maxBuffer: maxSocketListBytes,
	});
	const lines = sockets.replaceAll('\n\t', ' ').split('\n');
	return cluster.entries.map(({host, address}) => ({
		bytes: countPeerBytes(lines, address),
		cpuMs: getCpuMs(cluster.getProcessOrThrow(host).pid),
	}));
}

/** Sums the bytes of a host's peer connections, including TLS but not the TCP and IP headers. */
function countPeerBytes(lines: readonly string[], address: string): number {
	const peerConnections = lines.filter((line) => {
		const [local, remote] = line.split(/\s+/v).slice(localAddressField);
		const isOwn = local?.startsWith(`${address}:`);
		const usesPeerPort = [local, remote].some((end) =>
			end?.endsWith(`:${ports.peers}`),
		);
		return isOwn === true && usesPeerPort;
	});
	return peerConnections.reduce(
		(total, line) =>
			total +
			getNumberField(line, 'bytes_sent') +
			getNumberField(line, 'bytes_received'),
		0,
	);
}

function getNumberField(line: string, name: string): number {
	return Number(
		new RegExp(String.raw`${name}:(\d+)`, 'v').exec(line)?.[1] ?? 0,
	);
}

function getCpuMs(pid: number): number {
	const text = fs.readFileSync(`/proc/${pid}/stat`, 'utf8');
	const fields = text.slice(text.lastIndexOf(')') + 2).split(' ');
	const ticks =
		Number(fields[userTicksField]) + Number(fields[systemTicksField]);
	return ticks * msPerTick;
}

function getMean(values: readonly number[]): number {
	return values.reduce((sum, value) => sum + value, 0) / values.length;
}
