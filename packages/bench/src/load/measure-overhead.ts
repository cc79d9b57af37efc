/** Measures the latency that the entry process adds to a call, and its CPU and memory use. */

import {makeSeededRandom} from '@bilberryscale/core';
import type {Histogram} from 'hdr-histogram-js';
import type {BenchEnvironment} from '../processes/bench-environment.js';
import {readUsage} from '../processes/process-usage.js';
import {
	makeLatencyHistogram,
	makePool,
	runClosedLoop,
	runOpenLoop,
} from './load-generator.js';

/** Options of a measurement. */
export type OverheadOptions = {
	readonly connections: number;
	readonly seed: number;
	/** Pairs of a block of direct calls and a block of calls through the entry process. */
	readonly rounds: number;
	readonly blockMs: number;
	/** Call rate of the latency blocks; by default half of the measured `callsPerCore`. */
	readonly callsPerSecond: number | undefined;
};

/** Result of a measurement. */
export type OverheadResult = {
	readonly connections: number;
	/** Calls per second that the entry process serves per core of CPU time. */
	readonly callsPerCore: number;
	readonly callsPerSecond: number;
	/** Latency of direct calls to the target. */
	readonly direct: LatencyPercentiles;
	/** Latency of calls through the entry process. */
	readonly through: LatencyPercentiles;
	readonly addedP50Ms: number;
	readonly addedP99Ms: number;
	readonly ratioP99: number;
	/** Share of one core that the entry process used during its blocks. */
	readonly coreShare: number;
	readonly residentMegabytes: number;
	/** Log line of the entry process with its event-loop delay. */
	readonly loopDelay: string;
};

/** Latency percentiles in milliseconds. */
export type LatencyPercentiles = {
	readonly p50Ms: number;
	readonly p99Ms: number;
	readonly p999Ms: number;
	readonly calls: number;
};

const requestPath = '/service-0/item';
const warmUpMs = 3000;
const usPerMs = 1000;
const msPerSecond = 1000;
const bytesPerMegabyte = 1_048_576;

/**
 * Measures the capacity of the entry process, then alternates blocks of direct calls
 * and blocks of calls through the entry process.
 *
 * @param environment - Running processes.
 * @param options - Load and duration.
 * @returns Latencies, overhead and resource use.
 */
export async function measureOverhead(
	environment: BenchEnvironment,
	options: OverheadOptions,
): Promise<OverheadResult> {
	const {connections, seed, rounds, blockMs} = options;
	const directPool = makePool(environment.targetUrl, connections);
	const entryPool = makePool(environment.entryUrl, connections);
	const random = makeSeededRandom(seed);
	const callsPerCore = await measureCallsPerCore(environment, options);
	const callsPerSecond = Math.round(options.callsPerSecond ?? callsPerCore / 2);
	const directLatencies = makeLatencyHistogram();
	const entryLatencies = makeLatencyHistogram();
	let entryCpuMs = 0;
	let entryElapsedMs = 0;
	// Discards the delays recorded so far.
	await environment.readLoopDelay();
	for (let round = 0; round < rounds; round++) {
		const block = {path: requestPath, durationMs: blockMs};
		await runOpenLoop(
			{...block, pool: directPool, latencies: directLatencies},
			callsPerSecond,
			random,
		);
		const usageBefore = readUsage(environment.entryPid);
		const startMs = performance.now();
		await runOpenLoop(
			{...block, pool: entryPool, latencies: entryLatencies},
			callsPerSecond,
			random,
		);
		entryElapsedMs += performance.now() - startMs;
		entryCpuMs += readUsage(environment.entryPid).cpuMs - usageBefore.cpuMs;
	}

	const loopDelay = await environment.readLoopDelay();
	await Promise.all([directPool.close(), entryPool.close()]);
	return {
		connections,
		callsPerCore,
		callsPerSecond,
		...summariseLatencies(directLatencies, entryLatencies),
		coreShare: entryCpuMs / entryElapsedMs,
		residentMegabytes:
			readUsage(environment.entryPid).residentBytes / bytesPerMegabyte,
		loopDelay,
	};
}

async function measureCallsPerCore(
	environment: BenchEnvironment,
	{connections, blockMs}: OverheadOptions,
): Promise<number> {
	const pool = makePool(environment.entryUrl, connections);
	const block = {pool, path: requestPath, latencies: makeLatencyHistogram()};
	await runClosedLoop({...block, durationMs: warmUpMs}, connections);
	const usageBefore = readUsage(environment.entryPid);
	const calls = await runClosedLoop(
		{...block, durationMs: blockMs * 2},
		connections,
	);
	const {cpuMs} = readUsage(environment.entryPid);
	await pool.close();
	return Math.round((calls * msPerSecond) / (cpuMs - usageBefore.cpuMs));
}

function summariseLatencies(
	directLatencies: Histogram,
	entryLatencies: Histogram,
): Pick<
	OverheadResult,
	'direct' | 'through' | 'addedP50Ms' | 'addedP99Ms' | 'ratioP99'
> {
	const directPercentiles = getPercentiles(directLatencies);
	const entryPercentiles = getPercentiles(entryLatencies);
	return {
		direct: directPercentiles,
		through: entryPercentiles,
		addedP50Ms: entryPercentiles.p50Ms - directPercentiles.p50Ms,
		addedP99Ms: entryPercentiles.p99Ms - directPercentiles.p99Ms,
		ratioP99: entryPercentiles.p99Ms / directPercentiles.p99Ms,
	};
}

function getPercentiles(latencies: Histogram): LatencyPercentiles {
	return {
		p50Ms: latencies.getValueAtPercentile(50) / usPerMs,
		p99Ms: latencies.getValueAtPercentile(99) / usPerMs,
		p999Ms: latencies.getValueAtPercentile(99.9) / usPerMs,
		calls: latencies.totalCount,
	};
}
