/** The requests of all hosts together to a cold target, which no host can count alone. */

import {describe, it} from '@bilberryscale/testing';
import fc from 'fast-check';
import * as assert from 'uvu/assert';
import {
	isAllotmentMessage,
	isReply,
} from '../../src/accounts/allotment-message.js';
import {HostAnnouncement} from '../../src/fleet/host-announcement.js';
import {KnownHosts} from '../../src/fleet/known-hosts.js';
import {RetryPartTracker} from '../../src/limits/retry-part.js';
import {GatewayMetrics} from '../../src/records/gateway-metrics.js';
import {permitSpanMs} from '../../src/warm-up/warm-up-bound.js';
import {WarmUpLimiter} from '../../src/warm-up/warm-up-limiter.js';
import {isWarmUpMessage} from '../../src/warm-up/warm-up-message.js';
import type {Disruption} from '../limits/model-fleet.js';
import {reading} from '../fixtures.js';
import {
	WarmUpFleet,
	type ColdSpell,
	type WarmUpHost,
	type WarmUpHostContext,
	type WarmUpPlan,
} from './warm-up-fleet.js';

const durationMs = 16_000;
const bound = {overRatio: 1.5, slack: 5};
const sizes = [
	{hostCount: 6, requestsPerSecond: 60},
	{hostCount: 16, requestsPerSecond: 120},
	{hostCount: 40, requestsPerSecond: 160},
	{hostCount: 110, requestsPerSecond: 160},
	{hostCount: 312, requestsPerSecond: 200},
] as const;
const longSpell: ColdSpell = {atMs: 500, durationMs: 14_000, isRestart: false};

type Size = (typeof sizes)[number];

function startHost({
	clock,
	random,
	address,
	seeds,
	isFirstStart,
	getPeers,
	send,
	perSecond,
	bound: warmUpBound,
}: WarmUpHostContext): WarmUpHost {
	const knownHosts = new KnownHosts({
		clock,
		random,
		self: address,
		getPeers,
		getSeeds: () => seeds,
		send,
	});
	const {directory} = knownHosts;
	const announcement = new HostAnnouncement({
		clock,
		directory,
		isAlone: false,
		hasOtherSeeds: () => seeds.some((seed) => seed !== address),
		send,
	});
	const part = new RetryPartTracker({
		clock,
		isFirstStart,
		directory,
		announcement: {
			get isComplete() {
				return announcement.hasReachedAll;
			},
		},
		onChange: () => undefined,
	});
	const limiter = new WarmUpLimiter({
		clock,
		random,
		log: {write: () => undefined},
		metrics: new GatewayMetrics(),
		self: address,
		getHosts: () => directory.getHosts(),
		mayHold: () => part.getPart(permitSpanMs).hasSlack,
		getPerSecond: () => perSecond,
		getBound: () => warmUpBound,
		send,
	});
	knownHosts.start();
	announcement.start();
	return {
		getGate: (id) => limiter.makeGate({service: reading, id}),
		receive(message, sender) {
			if (isWarmUpMessage(message)) {
				limiter.receive(message, sender);
			} else if (isAllotmentMessage(message)) {
				knownHosts.receive(message, sender);
				if (isReply(message)) {
					announcement.recordReply(sender);
				} else if (message.method === 'contact-check') {
					send(sender, {method: 'contact-reply', check: message.check});
				}
			}
		},
		stop() {
			knownHosts.stop();
			announcement.stop();
		},
	};
}

async function play(
	size: Pick<WarmUpPlan, 'hostCount' | 'requestsPerSecond'>,
	changes: Partial<WarmUpPlan>,
): Promise<WarmUpFleet> {
	const fleet = new WarmUpFleet(
		{
			...size,
			perSecond: 2,
			bound,
			seed: size.hostCount,
			disruptions: [],
			spells: [longSpell],
			...changes,
		},
		startHost,
	);
	await fleet.run(durationMs);
	return fleet;
}

function repeat(
	kind: Disruption['kind'],
	times: readonly number[],
	share: number,
	lengthMs = 0,
): Disruption[] {
	return times.map((atMs) => ({kind, atMs, durationMs: lengthMs, share}));
}

const arbitraryTime = fc.integer({min: 0, max: 12_000});
const arbitraryDisruption: fc.Arbitrary<Disruption> = fc.record({
	kind: fc.constantFrom('kill', 'freeze', 'cut', 'move', 'join'),
	atMs: arbitraryTime,
	durationMs: fc.integer({min: 200, max: 9000}),
	share: fc.constantFrom(0.1, 0.3, 0.5, 1),
});
const arbitrarySpell: fc.Arbitrary<ColdSpell> = fc.record({
	atMs: arbitraryTime,
	durationMs: fc.integer({min: 300, max: 8000}),
	isRestart: fc.boolean(),
});

describe('the requests of all hosts together to a cold target', () => {
	// Guards against hosts that each send a cold target requests by a count of their own, as users saw with 16 hosts.
	describe('stay within what it bears in any second', () => {
		function doTest(
			name: string,
			input: Partial<WarmUpPlan>,
			size: Size,
		): void {
			it(`${name}, ${size.hostCount} hosts`, async () => {
				const fleet = await play(size, input);
				const most = fleet.getMostPerSecond();
				assert.ok(
					most <= fleet.getAllowed(),
					`${most} in a second, ${fleet.getAllowed()} allowed`,
				);
			});
		}

		for (const size of sizes) {
			doTest('when nothing else happens', {}, size);
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
				{leadMs: 500, spells: [{...longSpell, atMs: 0}]},
				size,
			);
			doTest(
				'when the target comes back under new ids',
				{
					spells: [0, 1, 2, 3].map((index) => ({
						atMs: 1000 + 2500 * index,
						durationMs: 2400,
						isRestart: true,
					})),
				},
				size,
			);
			doTest(
				'when the target starts again under its id and hosts learn that at different times',
				{
					perSecond: 1.6,
					staleEntryMs: 1500,
					spells: [{atMs: 1000, durationMs: 8000, isRestart: true}],
				},
				size,
			);
			doTest(
				'when all hosts are killed while half of them are cut off',
				{
					disruptions: [
						...repeat('cut', [500], 0.5, 15_000),
						...repeat('kill', [1000], 1),
					],
				},
				size,
			);
			it(`whatever happens, ${size.hostCount} hosts`, async () => {
				await fc.assert(
					fc.asyncProperty(
						fc.record({
							seed: fc.nat(),
							perSecond: fc.constantFrom(0.5, 1.6, 2, 10),
							disruptions: fc.array(arbitraryDisruption, {maxLength: 5}),
							spells: fc.array(arbitrarySpell, {minLength: 1, maxLength: 2}),
						}),
						async (input) => {
							const fleet = await play(size, input);
							assert.ok(fleet.getMostPerSecond() <= fleet.getAllowed());
						},
					),
					{
						seed: 51,
						numRuns: size.hostCount < 100 ? 15 : 2,
						endOnFailure: true,
					},
				);
			});
		}
	});

	// Guards against a limit that is kept by sending cold targets nothing.
	describe('are as many as it bears', () => {
		function doTest(hostCount: number, perSecond: number): void {
			it(`${perSecond} a second from ${hostCount} hosts`, async () => {
				const fleet = await play(
					{hostCount, requestsPerSecond: Math.max(60, 4 * hostCount)},
					{perSecond},
				);
				const borne = (perSecond * longSpell.durationMs) / 1000;
				const count = fleet.sends.length;
				assert.ok(count >= 0.75 * borne, `${count} of ${borne}`);
			});
		}

		// Guards against hosts that hold no part for as long as one that does not answer may be up.
		it('when hosts restart one after another and one does not answer', async () => {
			const fleet = new WarmUpFleet(
				{
					hostCount: 6,
					requestsPerSecond: 60,
					perSecond: 2,
					bound,
					seed: 1,
					disruptions: [
						...repeat('cut', [500], 0.1, 60_000),
						...repeat(
							'kill',
							Array.from({length: 24}, (_, index) => 1000 + 600 * index),
							0.1,
						),
					],
					spells: [{...longSpell, atMs: 25_000}],
				},
				startHost,
			);
			await fleet.run(40_000);
			const borne = (2 * longSpell.durationMs) / 1000;
			const count = fleet.sends.length;
			assert.ok(count >= 0.5 * borne, `${count} of ${borne}`);
		});

		doTest(1, 10);
		doTest(2, 10);
		doTest(6, 2);
		doTest(16, 1.6);
		doTest(40, 2);
		doTest(110, 2);
		doTest(312, 2);
	});
});
