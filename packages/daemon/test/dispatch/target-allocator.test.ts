/** Requests that wait for a target, with a manual clock. */

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
import {TargetAllocator} from '../../src/dispatch/target-allocator.js';

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

/** Makes an allocator whose only target is busy; counts its timers. */
function makeBusyAllocator() {
	const manualClock = new ManualClock();
	let timers = 0;
	const clock: Clock = {
		monotonicMs: () => manualClock.monotonicMs(),
		now: () => manualClock.now(),
		schedule(delayMs, action) {
			timers++;
			return manualClock.schedule(delayMs, action);
		},
	};
	const allocator = new TargetAllocator({
		clock,
		random: makeSeededRandom(1),
		dataCentre: east,
		selectionPolicy: 'least-cost-3',
		audit: () => undefined,
	});
	allocator.setBundle(makeBundle([archive]));
	const dispatcher = allocator.getDispatcher(archive)!;
	const {signal} = new AbortController();
	const first = allocator.acquire(dispatcher, makeCall(1), signal);
	return {
		allocator,
		dispatcher,
		manualClock,
		signal,
		first,
		countTimers: () => timers,
	};
}

describe('TargetAllocator', () => {
	it('ends a wait at the maximum queue time, with one timer', async () => {
		const {allocator, dispatcher, manualClock, signal, countTimers} =
			makeBusyAllocator();
		const waiting = allocator.acquire(dispatcher, makeCall(2), signal);
		manualClock.advance(queueTimeMs);
		const {kind} = await waiting.then((result) => result.unwrapErr());
		assert.is(kind, 'queue-timeout');
		assert.is(countTimers(), 1);
	});

	it('grants a released target to a waiting request', async () => {
		const {allocator, dispatcher, manualClock, signal, first} =
			makeBusyAllocator();
		const waiting = allocator.acquire(dispatcher, makeCall(2), signal);
		const target = await first.then((result) => result.unwrap());
		allocator.release(dispatcher, target, {kind: 'served', latencyMs: 1});
		assert.is(await waiting.then((result) => result.unwrap()), target);
		manualClock.advance(10_000);
		assert.is(dispatcher.getNextWakeMs(), undefined);
	});

	it('drops a waiting request when its caller disconnects', async () => {
		const {allocator, dispatcher, first} = makeBusyAllocator();
		const controller = new AbortController();
		const aborted = allocator.acquire(
			dispatcher,
			makeCall(2),
			controller.signal,
		);
		controller.abort();
		assert.is(await aborted.then((result) => result.isErr()), true);
		const target = await first.then((result) => result.unwrap());
		allocator.release(dispatcher, target, {kind: 'served', latencyMs: 1});
		assert.is(target.outstanding, 0);
	});

	it('refuses the waiting requests of a removed service', async () => {
		const {allocator, dispatcher, signal} = makeBusyAllocator();
		const waiting = allocator.acquire(dispatcher, makeCall(2), signal);
		allocator.setBundle(makeBundle([]));
		const {kind} = await waiting.then((result) => result.unwrapErr());
		assert.is(kind, 'service-unknown');
	});
});
