/** Sends calls to one URL and records their latencies. */

import {performance} from 'node:perf_hooks';
import {setImmediate as nextLoopIteration} from 'node:timers/promises';
import type {RandomSource} from '@bilberryscale/core';
import {build, type Histogram} from 'hdr-histogram-js';
import {Pool} from 'undici';

/** One uninterrupted period of load. */
export type LoadBlock = {
	readonly pool: Pool;
	readonly path: string;
	readonly durationMs: number;
	/** Records latencies in microseconds. */
	readonly latencies: Histogram;
};

const usPerMs = 1000;
const msPerSecond = 1000;

/** Makes an empty histogram of latencies in microseconds. */
export function makeLatencyHistogram(): Histogram {
	return build({
		lowestDiscernibleValue: 1,
		highestTrackableValue: 60_000_000,
		numberOfSignificantValueDigits: 3,
	});
}

/**
 * Makes a connection pool without pipelining.
 *
 * @param url - Origin of the server.
 * @param connections - Maximum number of connections.
 * @returns The pool.
 */
export function makePool(url: string, connections: number): Pool {
	return new Pool(url, {connections, pipelining: 1});
}

/**
 * Closed-loop load: each worker sends its next call as soon as its last one is complete.
 *
 * @param block - Target and duration of the load.
 * @param connections - Number of concurrent calls.
 * @returns Number of completed calls.
 */
export async function runClosedLoop(
	block: LoadBlock,
	connections: number,
): Promise<number> {
	const endMs = performance.now() + block.durationMs;
	let completedCount = 0;
	const workers = Array.from({length: connections}, async () => {
		while (performance.now() < endMs) {
			await sendCall(block);
			completedCount++;
		}
	});
	await Promise.all(workers);
	return completedCount;
}

/**
 * Open-loop load: calls arrive as a Poisson process, independent of how long earlier
 * calls take.
 *
 * @param block - Target and duration of the load.
 * @param callsPerSecond - Mean call rate.
 * @param random - Source of the intervals between calls.
 * @returns Number of completed calls.
 */
export async function runOpenLoop(
	block: LoadBlock,
	callsPerSecond: number,
	random: RandomSource,
): Promise<number> {
	const startMs = performance.now();
	const endMs = startMs + block.durationMs;
	const pendingCalls: Array<Promise<void>> = [];
	let nextSendMs = startMs;
	while (nextSendMs < endMs) {
		while (performance.now() < nextSendMs) {
			await nextLoopIteration();
		}

		pendingCalls.push(sendCall(block));
		nextSendMs += (-Math.log(1 - random()) * msPerSecond) / callsPerSecond;
	}

	await Promise.all(pendingCalls);
	return pendingCalls.length;
}

async function sendCall(block: LoadBlock): Promise<void> {
	const startMs = performance.now();
	const {statusCode, body} = await block.pool.request({
		method: 'GET',
		path: block.path,
	});
	await body.dump();
	if (statusCode !== 200) {
		throw new Error(`Expected status 200, got ${statusCode}.`);
	}

	block.latencies.recordValue((performance.now() - startMs) * usPerMs);
}
