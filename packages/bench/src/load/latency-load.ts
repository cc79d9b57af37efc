/** Sends calls to one URL and takes their latencies. */

import {performance} from 'node:perf_hooks';
import {setImmediate as nextTurn} from 'node:timers/promises';
import type {RandomSource} from '@bilberryscale/core';
import {build, type Histogram} from 'hdr-histogram-js';
import {Pool} from 'undici';

/** A block of load. */
export type LoadBlock = {
	readonly pool: Pool;
	readonly path: string;
	readonly durationMs: number;
	/** Takes latencies in microseconds. */
	readonly latencies: Histogram;
};

const usPerMs = 1000;
const msPerSecond = 1000;

/** Makes an empty histogram for latencies in microseconds. */
export function makeLatencies(): Histogram {
	return build({
		lowestDiscernibleValue: 1,
		highestTrackableValue: 60_000_000,
		numberOfSignificantValueDigits: 3,
	});
}

/**
 * Makes connections for a load.
 *
 * @param url - The origin.
 * @param connections - How many.
 * @returns The connections.
 */
export function makePool(url: string, connections: number): Pool {
	return new Pool(url, {connections, pipelining: 1});
}

/**
 * Sends as many calls as the connections take, one after the other on each.
 *
 * @param block - The load.
 * @param connections - How many calls run at once.
 * @returns How many calls were answered.
 */
export async function runClosedLoop(
	block: LoadBlock,
	connections: number,
): Promise<number> {
	const endMs = performance.now() + block.durationMs;
	let count = 0;
	const callers = Array.from({length: connections}, async () => {
		while (performance.now() < endMs) {
			await sendCall(block);
			count++;
		}
	});
	await Promise.all(callers);
	return count;
}

/**
 * Sends calls at random times, however slow others are.
 *
 * @param block - The load.
 * @param callsPerSecond - The mean rate.
 * @param random - Draws the times.
 * @returns How many calls were answered.
 */
export async function runOpenLoop(
	block: LoadBlock,
	callsPerSecond: number,
	random: RandomSource,
): Promise<number> {
	const startMs = performance.now();
	const endMs = startMs + block.durationMs;
	const running: Array<Promise<void>> = [];
	let dueMs = startMs;
	while (dueMs < endMs) {
		while (performance.now() < dueMs) {
			await nextTurn();
		}

		running.push(sendCall(block));
		dueMs += (-Math.log(1 - random()) * msPerSecond) / callsPerSecond;
	}

	await Promise.all(running);
	return running.length;
}

async function sendCall(block: LoadBlock): Promise<void> {
	const startMs = performance.now();
	const {statusCode, body} = await block.pool.request({
		method: 'GET',
		path: block.path,
	});
	await body.dump();
	if (statusCode !== 200) {
		throw new Error(`A call was answered ${statusCode}.`);
	}

	block.latencies.recordValue((performance.now() - startMs) * usPerMs);
}
