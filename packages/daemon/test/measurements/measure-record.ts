/**
 * Measures the time per request and the memory that recording costs.
 *
 * Run: `node --expose-gc --conditions=source --import tsx packages/daemon/test/measurements/measure-record.ts`.
 */

import {Buffer} from 'node:buffer';
import process from 'node:process';
import {Readable} from 'node:stream';
import {makeId, systemClock, type RequestId} from '@bilberryscale/core';
import {Ok} from 'ts-results-es';
import {noMetricSink} from '../../src/metrics/metric-sink.js';
import {Metrics} from '../../src/metrics/metrics.js';
import {DecisionLog} from '../../src/operators/decision-log.js';
import {Exchange} from '../../src/pipeline/exchange.js';
import {
	makePipeline,
	type Filter,
	type Pipeline,
} from '../../src/pipeline/filter.js';
import {
	makeRecordFilter,
	makeRecordAttemptFilter,
} from '../../src/pipeline/filters/record.js';

const callsPerRound = 100_000;
const rounds = 5;
const microsecondsPerMs = 1000;
const bytesPerMegabyte = 1_000_000;
const clock = systemClock;
const answer = Ok({status: 200, headers: {}, body: Buffer.from('')});
const answerFilter: Filter = async () => answer;
const body = Readable.from([]);
const {signal} = new AbortController();

const log = new DecisionLog();
const metrics = new Metrics({
	clock,
	sink: noMetricSink,
	getBundleVersion: () => 1,
	isReady: () => true,
});
const baselinePipeline = makePipeline([answerFilter]);
const recordingPipeline = makePipeline([
	makeRecordFilter({
		clock,
		onEnded(call) {
			log.add(call.record);
			metrics.addCall(call);
		},
	}),
	makeRecordAttemptFilter(clock),
	answerFilter,
]);

await measureCallUs(baselinePipeline);
await measureCallUs(recordingPipeline);
for (let round = 0; round < rounds; round++) {
	const withoutUs = await measureCallUs(baselinePipeline);
	const withUs = await measureCallUs(recordingPipeline);
	process.stdout.write(
		`a request without recording ${withoutUs.toFixed(2)} us, with ${withUs.toFixed(2)} us\n`,
	);
}

reportMemory();

async function measureCallUs(pipeline: Pipeline): Promise<number> {
	const startedAt = performance.now();
	for (let index = 0; index < callsPerRound; index++) {
		await pipeline(makeExchange(index));
	}

	return ((performance.now() - startedAt) * microsecondsPerMs) / callsPerRound;
}

function makeExchange(index: number): Exchange {
	return new Exchange({
		requestId: makeId<RequestId>(`request-${index}`),
		method: 'GET',
		url: '/reading/text',
		headers: {},
		body,
		receivedAtMs: clock.monotonicMs(),
		signal,
	});
}

function reportMemory(): void {
	globalThis.gc?.();
	const heapBytes = process.memoryUsage().heapUsed;
	const records = log.getRecords(`request-${callsPerRound - 1}`).length;
	process.stdout.write(
		`heap with ${records > 0 ? 'full' : 'empty'} ring buffers: ${(heapBytes / bytesPerMegabyte).toFixed(1)} MB\n`,
	);
}
