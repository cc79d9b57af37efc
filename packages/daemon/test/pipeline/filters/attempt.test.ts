/** Sending again, and stopping requests that crash targets. */

import {Readable} from 'node:stream';
import {
	makeId,
	makeSeededRandom,
	ManualClock,
	notRun,
	perhapsRun,
	type AuditEvent,
	type BootId,
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
import {CallDesk} from '../../../src/dispatch/call-desk.js';
import {Exchange, type FilterResult} from '../../../src/pipeline/exchange.js';
import {makePipeline, type Filter} from '../../../src/pipeline/filter.js';
import {makeAttemptFilter} from '../../../src/pipeline/filters/attempt.js';
import {makeBarCrashingFilter} from '../../../src/pipeline/filters/bar-crashing.js';
import {makeNoteCrashesFilter} from '../../../src/pipeline/filters/note-crashes.js';

const east = makeId<DataCentreId>('east');
const archive = makeId<ServiceName>('archive');
const reader = makeId<CallerClass>('reader');
const served: FilterResult = Ok({
	status: 200,
	headers: {},
	body: Readable.from([]),
});
const refused = notRun('target-refused', 'full');
const lost = perhapsRun('target-failed', 'broken');

const makeBundle = (share: number): Bundle => ({
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
			retry: {share, attempts: 4},
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

type Send = (exchange: Exchange) => Failure | undefined;

/** Makes a way whose sends end as a function says; targets restart when lost. */
function makeWay(send: Send, share = 1) {
	const clock = new ManualClock();
	const audited: AuditEvent[] = [];
	const audit = (event: AuditEvent) => {
		audited.push(event);
	};

	const random = makeSeededRandom(1);
	const desk = new CallDesk({
		clock,
		random,
		dataCentre: east,
		choice: 'random',
		audit,
	});
	desk.setBundle(makeBundle(share));
	const dispatcher = desk.getDispatcher(archive)!;
	const sentTo: string[] = [];
	const last: Filter = async (exchange) => {
		const target = exchange.target!;
		sentTo.push(target.target.id);
		const failure = send(exchange);
		desk.release(dispatcher, target, {
			kind: getOutcomeKind(failure),
			latencyMs: 1,
		});
		restartIfLost(target, failure, sentTo.length);
		return failure === undefined ? served : Err(failure);
	};

	const {suspects} = desk;
	const pipeline = makePipeline([
		makeBarCrashingFilter({suspects, clock, audit}),
		makeAttemptFilter({desk, clock}),
		makeNoteCrashesFilter({suspects, clock}),
		last,
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

	return {run, sentTo, audited};
}

function getOutcomeKind(failure: Failure | undefined): OutcomeKind {
	if (failure === undefined) {
		return 'served';
	}

	return failure.ran === 'not-run' ? 'not-run' : 'failed';
}

function restartIfLost(
	target: TargetState,
	failure: Failure | undefined,
	life: number,
): void {
	if (failure === lost) {
		target.bootId = makeId<BootId>(`boot-${life}`);
	}
}

function failInTurn(failures: ReadonlyArray<Failure | undefined>): Send {
	let turn = 0;
	return () => failures[turn++];
}

describe('the attempt filter', () => {
	const doTest = async (
		failures: ReadonlyArray<Failure | undefined>,
		expected: {readonly sends: number; readonly ran?: string},
		isIdempotent = true,
	) => {
		const {run, sentTo} = makeWay(failInTurn(failures));
		const result = await run('/archive/1', isIdempotent);
		assert.is(sentTo.length, expected.sends);
		assert.is(new Set(sentTo).size, sentTo.length);
		assert.is(result.isErr() ? result.error.ran : undefined, expected.ran);
	};

	it('sends a refused request to another target', async () => {
		await doTest([refused, undefined], {sends: 2});
	});

	it('does not send again what is not idempotent and may have run', async () => {
		await doTest([lost], {sends: 1, ran: 'unknown'}, false);
	});

	it('does not call a request unrun that an earlier target may have run', async () => {
		await doTest([lost, refused, refused, refused], {sends: 4, ran: 'unknown'});
	});

	it('stops after two targets were lost', async () => {
		await doTest([lost, lost, undefined], {sends: 2, ran: 'unknown'});
	});

	it('sends once without a budget, and tells when to come back', async () => {
		const {run, sentTo} = makeWay(() => refused, 0);
		const result = await run('/archive/1');
		assert.is(sentTo.length, 1);
		assert.is(result.unwrapErr().retryAfterMs, 50);
	});
});

describe('the filters against requests that crash targets', () => {
	it('refuse the request when its caller sends it again', async () => {
		const {run, sentTo, audited} = makeWay(({incoming}) =>
			incoming.url === '/killer' ? lost : undefined,
		);
		await run('/killer');
		const again = await run('/killer');
		assert.is(again.unwrapErr().kind, 'request-barred');
		assert.is(again.unwrapErr().ran, 'not-run');
		assert.is(sentTo.length, 2);
		assert.is(audited.at(-1)!.kind, 'request-barred');
		const other = await run('/innocent');
		assert.is(other.isOk(), true);
	});

	it('clear a request that was served after a crash', async () => {
		const {run, sentTo} = makeWay(failInTurn([lost, undefined, lost]));
		await run('/innocent');
		await run('/innocent');
		assert.is(sentTo.length, 4);
		const third = await run('/innocent');
		assert.is(third.isOk(), true);
	});
});
