/** The requests of all hosts together to a target that has named a limit, which no host can count alone. */

import {makeId, type DataCentreId} from '@bilberryscale/core';
import {describe, it} from '@bilberryscale/testing';
import * as assert from 'uvu/assert';
import {isAllotmentMessage} from '../../src/accounts/allotment-message.js';
import {SharedLimits} from '../../src/context/shared-limits.js';
import {KnownHosts} from '../../src/fleet/known-hosts.js';
import type {HostPlace} from '../../src/limits/get-rate-share.js';
import {GatewayMetrics} from '../../src/records/gateway-metrics.js';
import {TargetLimit} from '../../src/targets/target-limit.js';
import {defaultWarmUpBound} from '../../src/warm-up/warm-up-bound.js';
import {east, makeRegisteredTarget, west} from '../fixtures.js';
import {
	ModelFleet,
	type Disruption,
	type ModelContext,
	type ModelProcess,
} from './model-fleet.js';

/** A fleet and what happens to it. */
type LimitPlan = {
	readonly hostCount: number;
	readonly requestsPerSecond: number;
	/** The limit that the target has named, in requests per second. */
	readonly perSecond: number;
	readonly disruptions: readonly Disruption[];
	readonly durationMs?: number;
	/** Time before the first request, in milliseconds. */
	readonly leadMs?: number;
};

type LimitHost = ModelProcess & {
	/** Sends a request to the target if this host may. */
	readonly send: () => boolean;
};

const msPerSecond = 1000;
const windowMs = 4000;
/** What a target may get in a window, as a multiple of its limit, and in addition. */
const toleratedFactor = 1.5;
const toleratedExtra = 5;
const usualDurationMs = 20_000;
const target = makeRegisteredTarget('i-1', {dataCentre: east});
const sizes = [
	{hostCount: 6, requestsPerSecond: 60},
	{hostCount: 16, requestsPerSecond: 60},
	{hostCount: 40, requestsPerSecond: 100},
	{hostCount: 110, requestsPerSecond: 100},
	{hostCount: 312, requestsPerSecond: 200},
] as const;

type Size = (typeof sizes)[number];

function getDataCentre(address: string): DataCentreId {
	return Number(address.split('.').at(-1)) % 3 === 0 ? east : west;
}

function startHost(
	{clock, random, address, seeds, isFirstStart, getPeers, send}: ModelContext,
	perSecond: number,
): LimitHost {
	const knownHosts = new KnownHosts({
		clock,
		random,
		self: address,
		getPeers,
		getSeeds: () => seeds,
		send,
	});
	const limits = new SharedLimits({
		clock,
		random,
		log: {write: () => undefined},
		metrics: new GatewayMetrics(),
		self: address,
		dataCentre: getDataCentre(address),
		isFirstStart,
		directory: knownHosts.directory,
		isAlone: false,
		hasOtherSeeds: () => seeds.some((seed) => seed !== address),
		getPeers: () => [],
		getKnownPeers: memoizePlaces(getPeers),
		getRetryLimit: () => ({ratio: 0.2, slack: 60, windowMs: 10_000}),
		getWarmUpBound: () => defaultWarmUpBound,
		getWarmUpRate: () => undefined,
		send,
	});
	const limit = new TargetLimit({
		getShare: (limitPerSecond) =>
			limits.shares.getShare(target, limitPerSecond),
		getCheckDelayMs: () => limits.shares.getCheckDelayMs(),
	});
	limit.add(perSecond, 'attempt', clock.monotonicMs());
	knownHosts.start();
	limits.start();
	return {
		send() {
			const nowMs = clock.monotonicMs();
			const isAllowed = limit.canSend(nowMs);
			if (isAllowed) {
				limit.addSend(nowMs);
			}

			return isAllowed;
		},
		receive(message, sender) {
			if (!isAllotmentMessage(message)) {
				return;
			}

			knownHosts.receive(message, sender);
			limits.addEvidence(message, sender);
			if (message.method === 'contact-check') {
				send(sender, {method: 'contact-reply', check: message.check});
			}
		},
		stop() {
			knownHosts.stop();
			limits.stop();
		},
	};
}

/** Adds the data centres to the hosts that gossip has brought. */
function memoizePlaces(
	getPeers: ModelContext['getPeers'],
): () => readonly HostPlace[] {
	let peers: ReturnType<typeof getPeers> | undefined;
	let places: readonly HostPlace[] = [];
	return () => {
		const current = getPeers();
		if (current !== peers) {
			peers = current;
			places = current.map(({address}) => ({
				address,
				dataCentre: getDataCentre(address),
			}));
		}

		return places;
	};
}

/** Plays a fleet and gets when the target got requests, in milliseconds. */
async function play(plan: LimitPlan): Promise<number[]> {
	const {hostCount, perSecond, requestsPerSecond} = plan;
	const fleet = new ModelFleet({
		...plan,
		seed: hostCount,
		startProcess: (context) => startHost(context, perSecond),
	});
	const sendsMs: number[] = [];
	await fleet.run(plan.durationMs ?? usualDurationMs, requestsPerSecond, () => {
		const host = fleet.pickHost(({process}) => process !== undefined);
		host?.clock.run(() => {
			if (host.process?.send() === true) {
				sendsMs.push(fleet.clock.monotonicMs());
			}
		});
	});
	return sendsMs;
}

function getMostInWindow(sendsMs: readonly number[]): number {
	return Math.max(
		0,
		...sendsMs.map(
			(startMs) =>
				sendsMs.filter((atMs) => atMs >= startMs && atMs < startMs + windowMs)
					.length,
		),
	);
}

function repeat(
	kind: Disruption['kind'],
	times: readonly number[],
	share: number,
	lengthMs = 0,
): Disruption[] {
	return times.map((atMs) => ({kind, atMs, durationMs: lengthMs, share}));
}

describe('the requests of all hosts together to a target with a limit', () => {
	// Guards against hosts on both sides of a cut that forget each other and use the whole limit twice.
	describe('stay within what it accepts in any window', () => {
		function doTest(
			name: string,
			input: Omit<LimitPlan, keyof Size | 'perSecond'>,
			size: Size,
		): void {
			it(`${name}, ${size.hostCount} hosts`, async () => {
				for (const perSecond of [1, 10]) {
					const most = getMostInWindow(
						await play({...size, ...input, perSecond}),
					);
					const allowed =
						(perSecond * toleratedFactor * windowMs) / msPerSecond +
						toleratedExtra;
					assert.ok(
						most <= allowed,
						`${most} in a window, ${allowed} allowed at ${perSecond} a second`,
					);
				}
			});
		}

		for (const size of sizes) {
			doTest('when nothing else happens', {disruptions: []}, size);
			doTest(
				'when all hosts are killed in series',
				{disruptions: repeat('kill', [1000, 1900, 2800, 9500, 10_400], 1)},
				size,
			);
			doTest(
				'when half of the hosts are cut off, killed and frozen',
				{
					disruptions: [
						...repeat('cut', [1000], 0.5, 9000),
						...repeat('kill', [2000, 3000], 0.5),
						...repeat('freeze', [5000, 8000], 0.3, 900),
					],
				},
				size,
			);
			doTest(
				'when half of the hosts join',
				{disruptions: repeat('join', [800], 0.5)},
				size,
			);
			doTest(
				'when the fleet does not know itself yet',
				{disruptions: [], leadMs: 500},
				size,
			);
		}

		for (const size of sizes.slice(0, 3)) {
			doTest(
				'when the hosts are cut into three parts for minutes',
				{
					disruptions: [
						...repeat('cut', [1000], 0.6, 120_000),
						{...repeat('cut', [1001], 0.35, 120_000)[0]!, side: 2},
					],
					durationMs: 130_000,
				},
				size,
			);
		}

		for (const size of sizes.slice(0, 2)) {
			doTest(
				'when two fifths of the hosts are cut off for seven minutes',
				{
					disruptions: repeat('cut', [1000], 0.4, 420_000),
					durationMs: 430_000,
				},
				size,
			);
		}
	});

	// Guards against a limit that is kept by sending nothing.
	describe('are as many as it accepts', () => {
		function doTest(hostCount: number, perSecond: number): void {
			it(`${perSecond} a second from ${hostCount} hosts`, async () => {
				const sendsMs = await play({
					hostCount,
					requestsPerSecond: Math.max(60, 10 * hostCount),
					perSecond,
					disruptions: [],
				});
				const accepted = (perSecond * usualDurationMs) / msPerSecond;
				assert.ok(
					sendsMs.length >= 0.6 * accepted,
					`${sendsMs.length} of ${accepted}`,
				);
			});
		}

		doTest(6, 2);
		doTest(16, 2);
		doTest(40, 10);
		doTest(110, 2);
	});
});
