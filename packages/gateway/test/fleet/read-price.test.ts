/**
 * What reads cost in a model of a fleet. Guards against a fleet that asks a store that is
 * down more often than its single hosts need, and against one in which each host watches
 * the store for itself.
 */

import {describe, it} from '@bilberryscale/testing';
import * as assert from 'uvu/assert';
import {SnapshotFleet} from './snapshot-fleet.js';

const settlingMs = 4000;
const measuredMs = 10_000;
const boundMs = 2000;

async function countStoreCallsPerSecond(
	hostCount: number,
	disrupt: (fleet: SnapshotFleet) => void,
): Promise<number> {
	const fleet = new SnapshotFleet(hostCount, boundMs);
	fleet.start();
	await fleet.run(settlingMs);
	disrupt(fleet);
	const before = fleet.counts.storeCalls;
	await fleet.run(measuredMs);
	fleet.stop();
	return ((fleet.counts.storeCalls - before) * 1000) / measuredMs;
}

describe('calls to the store, in a model of a fleet', () => {
	function doTest(
		hostCount: number,
		maxPerSecond: number,
		disrupt: (fleet: SnapshotFleet) => void,
	): void {
		it(`are at most ${maxPerSecond} a second, ${hostCount} hosts`, async () => {
			const perSecond = await countStoreCallsPerSecond(hostCount, disrupt);
			assert.ok(perSecond <= maxPerSecond, `${perSecond} a second`);
		});
	}

	const hostCounts = [16, 100, 312];

	describe('while all hosts reach it', () => {
		for (const hostCount of hostCounts) {
			doTest(hostCount, 1000 / (boundMs / 4), () => undefined);
		}
	});

	describe('while the first three of each data centre have lost it', () => {
		/** What fleets of these sizes asked before hosts read the store directly. */
		const limits = [13.7, 91.8, 296.8];
		for (const [index, hostCount] of hostCounts.entries()) {
			doTest(hostCount, limits[index]!, (fleet) => {
				for (const host of fleet.getFirstHosts(3)) {
					host.isCut = true;
				}
			});
		}
	});

	describe('while it is down', () => {
		/** What fleets of these sizes asked before hosts read the store directly. */
		const limits = [11.9, 33, 100.9];
		for (const [index, hostCount] of hostCounts.entries()) {
			doTest(hostCount, limits[index]!, (fleet) => {
				fleet.isStoreDown = true;
			});
		}
	});
});
