/** The waits of calls, under a clock that the test moves. */

import {
	makeId,
	makeSeededRandom,
	ManualClock,
	type BundleVersion,
	type CallerClass,
	type Clock,
	type DataCentreId,
	type RequestId,
	type ServiceName,
	type TargetId,
} from '@bilberryscale/core';
import type {Bundle} from '@bilberryscale/bundle';
import type {Call} from '@bilberryscale/decisions';
import {describe, it} from '@bilberryscale/testing';
import * as assert from 'uvu/assert';
import {CallDesk} from '../../src/dispatch/call-desk.js';

const east = makeId<DataCentreId>('east');
const archive = makeId<ServiceName>('archive');
const reader = makeId<CallerClass>('reader');
const queueTimeMs = 500;

function makeBundle(services: readonly ServiceName[]): Bundle {
	return {
		version: makeId<BundleVersion>(1),
		dataCentres: [{id: east, state: 'in'}],
		distances: [],
		services: services.map((name) => ({
			name,
			idempotency: 'all',
			classes: [{name: reader, weight: 1}],
			limits: {queueLength: 8, queueTimeMs, timeoutMs: 5000, bodyBytes: 1},
			retry: {share: 0.1, attempts: 2},
			measuring: {callsPerSecond: 0, bytesPerSecond: 0},
			targets: [
				{
					id: makeId<TargetId>('archive-1'),
					address: '127.0.0.1',
					port: 8100,
					dataCentre: east,
					slots: 1,
					connections: 1,
					coldAllowance: 1,
				},
			],
		})),
	};
}

function makeCall(id: number): Call {
	return {
		requestId: makeId<RequestId>(`call-${id}`),
		callerClass: reader,
		isIdempotent: true,
		deadlineMs: 10_000,
		triedTargets: [],
	};
}

/** Makes a desk whose one target is busy, and counts its timers. */
function makeBusyDesk() {
	const manual = new ManualClock();
	let timers = 0;
	const clock: Clock = {
		monotonicMs: () => manual.monotonicMs(),
		now: () => manual.now(),
		schedule(delayMs, action) {
			timers++;
			return manual.schedule(delayMs, action);
		},
	};
	const desk = new CallDesk({
		clock,
		random: makeSeededRandom(1),
		dataCentre: east,
		choice: 'least-cost-3',
		audit: () => undefined,
	});
	desk.setBundle(makeBundle([archive]));
	const dispatcher = desk.getDispatcher(archive)!;
	const {signal} = new AbortController();
	const first = desk.acquire(dispatcher, makeCall(1), signal);
	return {desk, dispatcher, manual, signal, first, countTimers: () => timers};
}

describe('CallDesk', () => {
	it('ends a wait at its bound with one timer', async () => {
		const {desk, dispatcher, manual, signal, countTimers} = makeBusyDesk();
		const waiting = desk.acquire(dispatcher, makeCall(2), signal);
		manual.advance(queueTimeMs);
		const {kind} = await waiting.then((result) => result.unwrapErr());
		assert.is(kind, 'queue-timeout');
		assert.is(countTimers(), 1);
	});

	it('hands a target over when it is given back', async () => {
		const {desk, dispatcher, manual, signal, first} = makeBusyDesk();
		const waiting = desk.acquire(dispatcher, makeCall(2), signal);
		const target = await first.then((result) => result.unwrap());
		desk.release(dispatcher, target, {kind: 'served', latencyMs: 1});
		assert.is(await waiting.then((result) => result.unwrap()), target);
		manual.advance(10_000);
		assert.is(dispatcher.getNextWakeMs(), undefined);
	});

	it('forgets a call whose caller has gone', async () => {
		const {desk, dispatcher, first} = makeBusyDesk();
		const controller = new AbortController();
		const gone = desk.acquire(dispatcher, makeCall(2), controller.signal);
		controller.abort();
		assert.is(await gone.then((result) => result.isErr()), true);
		const target = await first.then((result) => result.unwrap());
		desk.release(dispatcher, target, {kind: 'served', latencyMs: 1});
		assert.is(target.outstanding, 0);
	});

	it('answers the waiting calls of a service that is taken away', async () => {
		const {desk, dispatcher, signal} = makeBusyDesk();
		const waiting = desk.acquire(dispatcher, makeCall(2), signal);
		desk.setBundle(makeBundle([]));
		const {kind} = await waiting.then((result) => result.unwrapErr());
		assert.is(kind, 'service-unknown');
	});
});
