/** Retries, and blocking of requests that crash targets. */

import {Readable} from 'node:stream';
import {
	makeId,
	makeSeededRandom,
	ManualClock,
	notRunFailure,
	possiblyRunFailure,
	type AuditEvent,
	type TargetIncarnationId,
	type BundleVersion,
	type CallerClass,
	type DataCentreId,
	type Failure,
	type RequestId,
	type ServiceName,
	type TargetId,
} from '@bilberryscale/core';
import type {Bundle} from '@bilberryscale/bundle';
import type {OutcomeKind, TargetState} from '@bilberryscale/decisions';
import {describe, it} from '@bilberryscale/testing';
import {Err, Ok} from 'ts-results-es';
import * as assert from 'uvu/assert';
import {TargetAllocator} from '../../../src/dispatch/target-allocator.js';
import {Exchange, type FilterResult} from '../../../src/pipeline/exchange.js';
import {makePipeline, type Filter} from '../../../src/pipeline/filter.js';
import {makeRetryFilter} from '../../../src/pipeline/filters/retry.js';
import {makeBlockCrashingFilter} from '../../../src/pipeline/filters/block-crashing.js';
import {makeRecordCrashesFilter} from '../../../src/pipeline/filters/record-crashes.js';

const east = makeId<DataCentreId>('east');
const archive = makeId<ServiceName>('archive');
const reader = makeId<CallerClass>('reader');
const served: FilterResult = Ok({
	status: 200,
	headers: {},
	body: Readable.from([]),
});
const refused = notRunFailure('target-refused', 'full');
const crashed = possiblyRunFailure('target-failed', 'broken');

const makeBundle = (retryShare: number): Bundle => ({
	version: makeId<BundleVersion>(1),
	dataCentres: [{id: east, state: 'in'}],
	distances: [],
	services: [
		{
			name: archive,
			idempotency: 'all',
			classes: [{name: reader, weight: 1}],
			limits: {
				queueLength: 8,
				queueTimeMs: 500,
				timeoutMs: 5000,
				bodyBytes: 1,
			},
			retry: {share: retryShare, attempts: 4},
			measuring: {callsPerSecond: 0, bytesPerSecond: 0},
			targets: Array.from({length: 6}, (_, index) => ({
				id: makeId<TargetId>(`archive-${index}`),
				address: '127.0.0.1',
				port: 8100 + index,
				dataCentre: east,
				slots: 1,
				connections: 1,
				coldAllowance: 1,
			})),
		},
	],
});

type GetFailure = (exchange: Exchange) => Failure | undefined;

/** Makes a pipeline with scripted attempts; a target restarts after `crashed`. */
function makeTestPipeline(getFailure: GetFailure, retryShare = 1) {
	const clock = new ManualClock();
	const audited: AuditEvent[] = [];
	const audit = (event: AuditEvent) => {
		audited.push(event);
	};

	const random = makeSeededRandom(1);
	const allocator = new TargetAllocator({
		clock,
		random,
		dataCentre: east,
		selectionPolicy: 'random',
		audit,
	});
	allocator.setBundle(makeBundle(retryShare));
	const dispatcher = allocator.getDispatcher(archive)!;
	const sentTargets: string[] = [];
	const sendFilter: Filter = async (exchange) => {
		const target = exchange.target!;
		sentTargets.push(target.target.id);
		const failure = getFailure(exchange);
		allocator.release(dispatcher, target, {
			kind: getOutcomeKind(failure),
			latencyMs: 1,
		});
		restartIfCrashed(target, failure, sentTargets.length);
		return failure === undefined ? served : Err(failure);
	};

	const {suspects} = allocator;
	const pipeline = makePipeline([
		makeBlockCrashingFilter({suspects, clock, audit}),
		makeRetryFilter({allocator, clock}),
		makeRecordCrashesFilter({suspects, clock}),
		sendFilter,
	]);
	const run = async (url: string, isIdempotent = true) => {
		const exchange = new Exchange({
			requestId: makeId<RequestId>('request'),
			method: 'GET',
			url,
			headers: {},
			body: Readable.from([]),
			receivedAtMs: 0,
			signal: new AbortController().signal,
		});
		exchange.setIdentity({
			dispatcher,
			callerClass: reader,
			isIdempotent,
			key: undefined,
			targetPath: url,
			deadlineMs: 5000,
		});
		return pipeline(exchange);
	};

	return {run, sentTargets, audited};
}

function getOutcomeKind(failure: Failure | undefined): OutcomeKind {
	if (failure === undefined) {
		return 'served';
	}

	return failure.ran === 'not-run' ? 'not-run' : 'failed';
}

function restartIfCrashed(
	target: TargetState,
	failure: Failure | undefined,
	incarnation: number,
): void {
	if (failure === crashed) {
		target.bootId = makeId<TargetIncarnationId>(`boot-${incarnation}`);
	}
}

function failInOrder(failures: ReadonlyArray<Failure | undefined>): GetFailure {
	let index = 0;
	return () => failures[index++];
}

describe('makeRetryFilter', () => {
	const doTest = async (
		failures: ReadonlyArray<Failure | undefined>,
		expected: {readonly sends: number; readonly ran?: string},
		isIdempotent = true,
	) => {
		const {run, sentTargets} = makeTestPipeline(failInOrder(failures));
		const result = await run('/archive/1', isIdempotent);
		assert.is(sentTargets.length, expected.sends);
		assert.is(new Set(sentTargets).size, sentTargets.length);
		assert.is(result.isErr() ? result.error.ran : undefined, expected.ran);
	};

	it('retries a refused request on another target', async () => {
		await doTest([refused, undefined], {sends: 2});
	});

	it('does not retry a non-idempotent request that may have run', async () => {
		await doTest([crashed], {sends: 1, ran: 'unknown'}, false);
	});

	it('reports an unknown run state once an earlier attempt may have run', async () => {
		await doTest([crashed, refused, refused, refused], {
			sends: 4,
			ran: 'unknown',
		});
	});

	it('stops after two target failures', async () => {
		await doTest([crashed, crashed, undefined], {sends: 2, ran: 'unknown'});
	});

	it('sends once without a retry budget and returns a retry delay', async () => {
		const {run, sentTargets} = makeTestPipeline(() => refused, 0);
		const result = await run('/archive/1');
		assert.is(sentTargets.length, 1);
		assert.is(result.unwrapErr().retryAfterMs, 50);
	});
});

describe('makeBlockCrashingFilter and makeRecordCrashesFilter', () => {
	it('refuse a repeated request that crashed two targets', async () => {
		const {run, sentTargets, audited} = makeTestPipeline(({incoming}) =>
			incoming.url === '/crashing' ? crashed : undefined,
		);
		await run('/crashing');
		const repeated = await run('/crashing');
		assert.is(repeated.unwrapErr().kind, 'request-barred');
		assert.is(repeated.unwrapErr().ran, 'not-run');
		assert.is(sentTargets.length, 2);
		assert.is(audited.at(-1)!.kind, 'request-barred');
		const other = await run('/harmless');
		assert.is(other.isOk(), true);
	});

	it('clear a suspect once it is served', async () => {
		const {run, sentTargets} = makeTestPipeline(
			failInOrder([crashed, undefined, crashed]),
		);
		await run('/harmless');
		await run('/harmless');
		assert.is(sentTargets.length, 4);
		const third = await run('/harmless');
		assert.is(third.isOk(), true);
	});
});
