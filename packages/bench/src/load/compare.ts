/** Compares calls straight to a target with calls through the entry process. */

import {makeSeededRandom} from '@bilberryscale/core';
import type {Histogram} from 'hdr-histogram-js';
import type {BenchHost} from '../processes/bench-host.js';
import {readUsage} from '../processes/process-usage.js';
import {
	makeLatencies,
	makePool,
	runClosedLoop,
	runOpenLoop,
} from './latency-load.js';

/** How a comparison is run. */
export type ComparisonPlan = {
	readonly connections: number;
	readonly seed: number;
	/** How many pairs of blocks follow each other. */
	readonly rounds: number;
	readonly blockMs: number;
	/** The calls a second of the latency blocks; half a core's if absent. */
	readonly callsPerSecond: number | undefined;
};

/** What came out. */
export type Comparison = {
	readonly connections: number;
	/** The calls that one core of the entry process carries a second. */
	readonly callsPerCore: number;
	readonly callsPerSecond: number;
	readonly direct: Latency;
	readonly through: Latency;
	readonly addedP50Ms: number;
	readonly addedP99Ms: number;
	readonly ratioP99: number;
	/** The share of a core that the entry process used in its blocks. */
	readonly coreShare: number;
	readonly residentMegabytes: number;
	readonly loopDelay: string;
};

/** Percentiles in milliseconds. */
export type Latency = {
	readonly p50Ms: number;
	readonly p99Ms: number;
	readonly p999Ms: number;
	readonly calls: number;
};

const path = '/service-0/item';
const warmUpMs = 3000;
const usPerMs = 1000;
const msPerSecond = 1000;
const bytesPerMegabyte = 1_048_576;

/**
 * Runs the comparison; blocks of both kinds follow each other in turn.
 *
 * @param host - The processes.
 * @param plan - The load.
 * @returns What came out.
 */
export async function compare(
	host: BenchHost,
	plan: ComparisonPlan,
): Promise<Comparison> {
	const {connections, seed, rounds, blockMs} = plan;
	const direct = makePool(host.targetUrl, connections);
	const through = makePool(host.entryUrl, connections);
	const random = makeSeededRandom(seed);
	const callsPerCore = await measureCapacity(host, plan);
	const callsPerSecond = Math.round(plan.callsPerSecond ?? callsPerCore / 2);
	const directLatencies = makeLatencies();
	const throughLatencies = makeLatencies();
	let cpuMs = 0;
	let throughMs = 0;
	await host.readLoopDelay();
	for (let round = 0; round < rounds; round++) {
		const block = {path, durationMs: blockMs};
		await runOpenLoop(
			{...block, pool: direct, latencies: directLatencies},
			callsPerSecond,
			random,
		);
		const before = readUsage(host.entryPid);
		const startMs = performance.now();
		await runOpenLoop(
			{...block, pool: through, latencies: throughLatencies},
			callsPerSecond,
			random,
		);
		throughMs += performance.now() - startMs;
		cpuMs += readUsage(host.entryPid).cpuMs - before.cpuMs;
	}

	const loopDelay = await host.readLoopDelay();
	await Promise.all([direct.close(), through.close()]);
	return {
		connections,
		callsPerCore,
		callsPerSecond,
		...getDifference(directLatencies, throughLatencies),
		coreShare: cpuMs / throughMs,
		residentMegabytes:
			readUsage(host.entryPid).residentBytes / bytesPerMegabyte,
		loopDelay,
	};
}

async function measureCapacity(
	host: BenchHost,
	{connections, blockMs}: ComparisonPlan,
): Promise<number> {
	const pool = makePool(host.entryUrl, connections);
	const block = {pool, path, latencies: makeLatencies()};
	await runClosedLoop({...block, durationMs: warmUpMs}, connections);
	const before = readUsage(host.entryPid);
	const calls = await runClosedLoop(
		{...block, durationMs: blockMs * 2},
		connections,
	);
	const {cpuMs} = readUsage(host.entryPid);
	await pool.close();
	return Math.round((calls * msPerSecond) / (cpuMs - before.cpuMs));
}

function getDifference(
	direct: Histogram,
	through: Histogram,
): Pick<
	Comparison,
	'direct' | 'through' | 'addedP50Ms' | 'addedP99Ms' | 'ratioP99'
> {
	const directMs = getLatency(direct);
	const throughMs = getLatency(through);
	return {
		direct: directMs,
		through: throughMs,
		addedP50Ms: throughMs.p50Ms - directMs.p50Ms,
		addedP99Ms: throughMs.p99Ms - directMs.p99Ms,
		ratioP99: throughMs.p99Ms / directMs.p99Ms,
	};
}

function getLatency(latencies: Histogram): Latency {
	return {
		p50Ms: latencies.getValueAtPercentile(50) / usPerMs,
		p99Ms: latencies.getValueAtPercentile(99) / usPerMs,
		p999Ms: latencies.getValueAtPercentile(99.9) / usPerMs,
		calls: latencies.totalCount,
	};
}
