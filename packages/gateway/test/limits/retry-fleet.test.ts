/** The retries of all hosts together, which no host can count alone. */

import {describe, it} from '@bilberryscale/testing';
import fc from 'fast-check';
import * as assert from 'uvu/assert';
import {
	isAllotmentMessage,
	isReply,
} from '../../src/accounts/allotment-message.js';
import {HostAnnouncement} from '../../src/fleet/host-announcement.js';
import {KnownHosts} from '../../src/fleet/known-hosts.js';
import {isLoanMessage} from '../../src/limits/loan-message.js';
import {RetryBudgets} from '../../src/limits/retry-budgets.js';
import {RetryLoans} from '../../src/limits/retry-loans.js';
import {RetryPartTracker} from '../../src/limits/retry-part.js';
import {GatewayMetrics} from '../../src/records/gateway-metrics.js';
import {east, reading} from '../fixtures.js';
import type {Disruption} from './model-fleet.js';
import {
	RetryFleet,
	type FleetPlan,
	type RetryHost,
	type RetryHostContext,
	type Spell,
} from './retry-fleet.js';

const durationMs = 26_000;

/** Sizes as on the users' sites: hosts, requests per second of one service, and the slack of the limit. */
const sizes = [
	{hostCount: 6, requestsPerSecond: 25, slack: 48},
	{hostCount: 19, requestsPerSecond: 82, slack: 64},
	{hostCount: 110, requestsPerSecond: 153, slack: 174},
	{hostCount: 312, requestsPerSecond: 349, slack: 430},
] as const;

type Size = (typeof sizes)[number];

function startHost({
	clock,
	random,
	address,
	limit,
	seeds,
	isFirstStart,
	getPeers,
	send,
}: RetryHostContext): RetryHost {
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
		announcement,
		onChange: () => undefined,
	});
	const budgets = new RetryBudgets({
		getLimit: () => limit,
		getPart: (windowMs) => part.getPart(windowMs),
	});
	const loans = new RetryLoans({
		clock,
		random,
		metrics: new GatewayMetrics(),
		dataCentre: east,
		getPeers: () =>
			directory
				.getHosts()
				.map((peer) => ({
					place: {address: peer, dataCentre: east},
					rank: random(),
				}))
				.toSorted((a, b) => a.rank - b.rank)
				.map(({place}) => place),
		send,
		getBudget: (service) => budgets.get(service),
		hasService: () => true,
	});
	const budget = budgets.get(reading);
	const addRequest = () => {
		budget.addRequest(clock.monotonicMs());
	};

	knownHosts.start();
	announcement.start();
	return {
		addRequest,
		forwardRequest: () => false,
		addForwardedRequest(isCounted) {
			if (!isCounted) {
				addRequest();
			}
		},
		async takeRetry() {
			if (budget.take(clock.monotonicMs())) {
				return true;
			}

			const loan = await loans.borrow(reading, 0);
			return budget.take(clock.monotonicMs(), 0, loan);
		},
		receive(message, sender) {
			if (isLoanMessage(message)) {
				loans.receive(message, sender);
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
	{hostCount, requestsPerSecond, slack}: Size,
	plan: Pick<FleetPlan, 'seed' | 'disruptions' | 'spells'>,
): Promise<RetryFleet> {
	const fleet = new RetryFleet(
		{
			hostCount,
			requestsPerSecond,
			limit: {ratio: 0.2, slack, windowMs: 10_000},
			...plan,
		},
		startHost,
	);
	await fleet.run(durationMs);
	return fleet;
}

const longSpell: Spell = {atMs: 500, durationMs: 20_000, refusedShare: 0.8};

function repeat(
	kind: Disruption['kind'],
	times: readonly number[],
	share: number,
	lengthMs = 0,
): Disruption[] {
	return times.map((atMs) => ({kind, atMs, durationMs: lengthMs, share}));
}

const arbitraryTime = fc.integer({min: 0, max: 20_000});
const arbitraryDisruption: fc.Arbitrary<Disruption> = fc.record({
	kind: fc.constantFrom('kill', 'freeze', 'cut', 'lost-path', 'move', 'join'),
	atMs: arbitraryTime,
	durationMs: fc.integer({min: 200, max: 9000}),
	share: fc.constantFrom(0.1, 0.3, 0.5, 1),
});
const arbitrarySpell: fc.Arbitrary<Spell> = fc.record({
	atMs: arbitraryTime,
	durationMs: fc.integer({min: 300, max: 12_000}),
	refusedShare: fc.constantFrom(0.3, 0.7, 0.95),
});

describe('the retries of all hosts together', () => {
	// Guards against more retries at a service than the limit for all hosts allows, as users saw after kills in series.
	describe('stay within the limit', () => {
		function doTest(
			name: string,
			input: Pick<FleetPlan, 'disruptions' | 'spells'>,
			size: Size,
		): void {
			it(`${name}, ${size.hostCount} hosts`, async () => {
				const fleet = await play(size, {seed: size.hostCount, ...input});
				const excess = fleet.getLargestExcess();
				assert.ok(fleet.refusedCount > 0);
				assert.ok(excess <= 0, `${excess.toFixed(1)} retries too many`);
			});
		}

		for (const size of sizes) {
			doTest(
				'when all hosts are killed three times in 3 s',
				{
					disruptions: repeat('kill', [8000, 9500, 11_000], 1),
					spells: [longSpell],
				},
				size,
			);
			doTest(
				'when all hosts are killed six times in 9 s',
				{
					disruptions: repeat(
						'kill',
						[5000, 6800, 8600, 10_400, 12_200, 14_000],
						1,
					),
					spells: [longSpell],
				},
				size,
			);
			doTest(
				'when all hosts are killed while half of them are cut off',
				{
					disruptions: [
						...repeat('cut', [500], 0.5, 40_000),
						...repeat('kill', [1000], 1),
					],
					spells: [{atMs: 18_000, durationMs: 6000, refusedShare: 0.95}],
				},
				size,
			);
			doTest(
				'when half of the hosts forward all requests',
				{
					disruptions: repeat('lost-path', [3000], 0.5, 14_000),
					spells: [longSpell],
				},
				size,
			);
			doTest(
				'in two spells of refusals that are a little less than a window apart',
				{
					disruptions: [],
					spells: [
						{atMs: 4950, durationMs: 600, refusedShare: 0.98},
						{atMs: 14_010, durationMs: 600, refusedShare: 0.98},
					],
				},
				size,
			);
			doTest(
				'when callers move to other hosts',
				{
					disruptions: repeat('move', [8000], 0.5),
					spells: [{atMs: 7000, durationMs: 11_000, refusedShare: 0.9}],
				},
				size,
			);
			doTest(
				'when half of the hosts are cut off, killed and frozen',
				{
					disruptions: [
						...repeat('cut', [2000], 0.5, 12_000),
						...repeat('kill', [6000, 9000], 0.5),
						...repeat('freeze', [7000], 0.3, 3000),
					],
					spells: [longSpell],
				},
				size,
			);
			doTest(
				'when half of the hosts join in a spell',
				{
					disruptions: repeat('join', [6000], 0.5),
					spells: [longSpell],
				},
				size,
			);
			it(`whatever happens, ${size.hostCount} hosts`, async () => {
				await fc.assert(
					fc.asyncProperty(
						fc.record({
							seed: fc.nat(),
							disruptions: fc.array(arbitraryDisruption, {maxLength: 6}),
							spells: fc.array(arbitrarySpell, {minLength: 1, maxLength: 3}),
						}),
						async (input) => {
							const fleet = await play(size, input);
							assert.ok(fleet.getLargestExcess() <= 0);
						},
					),
					{
						seed: 48,
						numRuns: size.hostCount < 100 ? 25 : 4,
						endOnFailure: true,
					},
				);
			});
		}
	});
});
