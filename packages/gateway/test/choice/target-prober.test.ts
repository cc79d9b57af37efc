/**
 * Steady load on a large fleet: a host has few usual targets, and hundreds of
 * hosts share the probes that targets may get. Each request must still be
 * compared on all usual targets, or requests go to busy ones by chance.
 */

import {
	makeId,
	makeSeededRandom,
	ManualClock,
	type HostId,
} from '@bilberryscale/core';
import {describe, it} from '@bilberryscale/testing';
import * as assert from 'uvu/assert';
import type {PickRequest} from '../../src/choice/pick-request.js';
import {
	TargetProber,
	type TargetProberOptions,
} from '../../src/choice/target-prober.js';
import type {RegisteredTarget} from '../../src/plan/registered-target.js';
import {GatewayMetrics} from '../../src/records/gateway-metrics.js';
import {TargetRegistry} from '../../src/targets/target-registry.js';
import {unlimitedWarmUpGate} from '../../src/warm-up/warm-up-gate.js';
import {
	east,
	makeRegisteredTarget,
	makeTestLog,
	reading,
	testProtocol,
} from '../fixtures.js';

const hostCount = 312;
const targetCount = 130;
const probesPerTargetSecond = 60;
const requestIntervalMs = 500;

/** The targets and how they are probed. */
type ProberInput = Pick<TargetProberOptions, 'sendProbes'> & {
	readonly targets: readonly RegisteredTarget[];
	readonly hostCount: number;
};

function makeProber(
	clock: ManualClock,
	{targets, hostCount, sendProbes}: ProberInput,
): TargetProber {
	const {log} = makeTestLog(clock);
	const registry = new TargetRegistry({
		clock,
		log,
		metrics: new GatewayMetrics(),
		localAddress: '127.0.0.1',
		getHostCount: () => hostCount,
		makeLimitPolicy: () => ({
			getShare: (perSecond) => perSecond,
			getCheckDelayMs: () => 1000,
		}),
		makeWarmUpGate: () => unlimitedWarmUpGate,
		onLimitChange: () => undefined,
		onPathLost: () => undefined,
	});
	registry.setSnapshot({
		plan: undefined,
		targets: new Map(targets.map((target) => [target.id, target])),
		drainedDataCentres: new Set(),
	});
	return new TargetProber({
		clock,
		random: makeSeededRandom(1),
		log,
		registry,
		protocol: testProtocol,
		host: makeId<HostId>('host-1'),
		dataCentre: east,
		getProbesPerTargetSecond: () => probesPerTargetSecond,
		getHostCount: () => hostCount,
		...(sendProbes !== undefined && {sendProbes}),
	});
}

function makePickRequest(nowMs: number): PickRequest {
	return {
		service: reading,
		isIdempotent: true,
		serviceTimeMs: 200,
		triedTargets: new Set(),
		allowedTargets: undefined,
		endsOutOfReach: true,
		receivedAtMs: nowMs,
		targetLatencyMs: 600,
		isReturning: false,
		isOverdue: false,
		deadlineMs: nowMs + 2500,
		priority: 0,
		signal: new AbortController().signal,
	};
}

/** Counts the probes of a host for steady requests; no target accepts a connection. */
async function countProbes(requestCount: number): Promise<number[]> {
	const clock = new ManualClock();
	const targets = Array.from({length: targetCount}, (_, index) =>
		makeRegisteredTarget(`i-${index}`),
	);
	const prober = makeProber(clock, {targets, hostCount});
	const counts: number[] = [];
	for (let index = 0; index < requestCount; index++) {
		counts.push(
			await prober.probe(makePickRequest(clock.monotonicMs()), 8, 'subset'),
		);
		clock.advance(requestIntervalMs);
	}

	return counts;
}

/**
 * Probes for steady requests while one of three targets shares its address with entries of
 * another writer, and counts for each request how many of those are asked.
 */
async function countDisplacedProbes(requestCount: number): Promise<number[]> {
	const clock = new ManualClock();
	const sound = ['i-0', 'i-1', 'i-2'].map((id, index) =>
		makeRegisteredTarget(id, {port: index + 1}),
	);
	const displaced = Array.from({length: 30}, (_, index) =>
		makeRegisteredTarget(`odd-${index}`, {port: 1}),
	);
	let asked: string[] = [];
	const prober = makeProber(clock, {
		targets: [...sound, ...displaced],
		hostCount: 1,
		async sendProbes({states, onIdentified}) {
			for (const {registration} of states) {
				asked.push(registration.id);
				onIdentified?.(registration, `i-${registration.port - 1}`);
			}
		},
	});
	const counts: number[] = [];
	for (let index = 0; index < requestCount; index++) {
		asked = [];
		for (const scope of ['subset', 'near'] as const) {
			await prober.probe(makePickRequest(clock.monotonicMs()), 8, scope);
		}

		counts.push(asked.filter((id) => id.startsWith('odd-')).length);
		clock.advance(requestIntervalMs);
	}

	return counts;
}

describe('TargetProber', () => {
	describe('probe, entries of another writer at the address of a target', () => {
		// Requests asked only such entries until it was too late for them, and were refused.
		it('asks none of them once the target has responded', async () => {
			const [, ...counts] = await countDisplacedProbes(20);
			assert.equal(
				counts,
				counts.map(() => 0),
			);
		});
	});

	describe('probe, steady load on 312 hosts', () => {
		it('asks all usual targets for each request', async () => {
			const counts = await countProbes(120);
			assert.ok(
				counts.every((count) => count === 4),
				counts.join(' '),
			);
		});

		it('stays within the share of the probes that targets may get', async () => {
			const counts = await countProbes(120);
			const total = counts.reduce((sum, count) => sum + count, 0);
			const seconds = (counts.length * requestIntervalMs) / 1000;
			const perTargetSecond = (total * hostCount) / targetCount / seconds;
			assert.ok(perTargetSecond < probesPerTargetSecond, `${perTargetSecond}`);
		});
	});
});
