/** The probes of all hosts together, which no host can count alone. */

import {describe, it} from '@bilberryscale/testing';
import * as assert from 'uvu/assert';
import {isAllotmentMessage} from '../../src/accounts/allotment-message.js';
import {KnownHosts} from '../../src/fleet/known-hosts.js';
import {ProbeBudget} from '../../src/limits/probe-budget.js';
import {
	ModelFleet,
	type Disruption,
	type ModelContext,
	type ModelProcess,
} from './model-fleet.js';

/** A fleet, its targets and what happens to it. */
type ProbePlan = {
	readonly hostCount: number;
	readonly targetCount: number;
	readonly disruptions: readonly Disruption[];
	/** Time before the first request, in milliseconds. */
	readonly leadMs?: number;
};

type ProbeHost = ModelProcess & {
	/** Takes as many probes as this host may send now. */
	readonly takeAll: () => number;
};

/** As long as the shortest days of the deployments. */
const durationMs = 30_000;
const msPerSecond = 1000;
const probesPerTargetSecond = 60;
const looksPerHostSecond = 3;
const minHostCount = 16;
/** As in the deployments, which have up to 3.6 hosts for each target of a service. */
const sizes = [
	{hostCount: 6, targetCount: 3},
	{hostCount: 16, targetCount: 6},
	{hostCount: 40, targetCount: 12},
	{hostCount: 110, targetCount: 38},
	{hostCount: 312, targetCount: 86},
] as const;

type Size = (typeof sizes)[number];

function startHost(
	{clock, random, address, seeds, getPeers, send}: ModelContext,
	targetCount: number,
): ProbeHost {
	const knownHosts = new KnownHosts({
		clock,
		random,
		self: address,
		getPeers,
		getSeeds: () => seeds,
		send,
	});
	// The host counts the others that it has heard of, as its fleet does.
	const budget = new ProbeBudget(
		() => probesPerTargetSecond,
		() => Math.max(minHostCount, knownHosts.directory.getHosts().length + 1),
	);
	knownHosts.start();
	return {
		takeAll: () =>
			budget.take(Number.POSITIVE_INFINITY, targetCount, clock.monotonicMs()),
		receive(message, sender) {
			if (!isAllotmentMessage(message)) {
				return;
			}

			knownHosts.receive(message, sender);
			if (message.method === 'contact-check') {
				send(sender, {method: 'contact-reply', check: message.check});
			}
		},
		stop() {
			knownHosts.stop();
		},
	};
}

/** Plays a day on which each host sends all probes that it may. */
async function countProbes(plan: ProbePlan): Promise<number> {
	const {hostCount, targetCount} = plan;
	const fleet = new ModelFleet({
		...plan,
		seed: hostCount,
		startProcess: (context) => startHost(context, targetCount),
	});
	let count = 0;
	await fleet.run(durationMs, looksPerHostSecond * hostCount, () => {
		const host = fleet.pickHost(({process}) => process !== undefined);
		host?.clock.run(() => {
			count += host.process?.takeAll() ?? 0;
		});
	});
	return count;
}

function repeat(
	kind: Disruption['kind'],
	times: readonly number[],
	share: number,
	lengthMs = 0,
): Disruption[] {
	return times.map((atMs) => ({kind, atMs, durationMs: lengthMs, share}));
}

describe('the probes of all hosts together', () => {
	// Guards against processes that each start with half a minute's probes, and against hosts that know few others.
	describe('stay within what the targets may get over the day', () => {
		function doTest(
			name: string,
			input: Pick<ProbePlan, 'disruptions' | 'leadMs'>,
			size: Size,
		): void {
			it(`${name}, ${size.hostCount} hosts`, async () => {
				const count = await countProbes({...size, ...input});
				const seconds = durationMs / msPerSecond;
				const allowed = probesPerTargetSecond * size.targetCount * seconds;
				assert.ok(count <= allowed, `${count} of ${allowed}`);
				assert.ok(count >= allowed / 5, `${count} of ${allowed}`);
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
	});
});
