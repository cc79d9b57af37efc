/**
 * Load: hosts that each see a part of the targets and of the requests. Guards
 * against hosts that act on their own small sample, on old reports, or on the
 * estimates of hosts that are gone.
 */

import {makeSeededRandom, ManualClock} from '@bilberryscale/core';
import {describe, it} from '@bilberryscale/testing';
import * as assert from 'uvu/assert';
import {ServiceUtilization} from '../../src/capacity/service-utilization.js';
import type {LoadReport} from '../../src/targets/load-report.js';
import {reading} from '../fixtures.js';

function makeReport(running: number, receivedAtMs = 0): LoadReport {
	return {running, receivedAtMs, waiting: 0, slots: 6, slowdownFactor: 1};
}

function makeUtilization(
	clock: ManualClock,
	reports: readonly LoadReport[] = [],
): ServiceUtilization {
	const getTargets = () => reports.map((report) => ({report}));
	return new ServiceUtilization({clock, getTargets});
}

describe('ServiceUtilization', () => {
	describe('get', () => {
		it('is the share of the used slots in fresh reports', () => {
			const reports = [makeReport(6), makeReport(3)];
			const utilization = makeUtilization(new ManualClock(), reports);
			assert.is(utilization.get(reading).utilization, 0.75);
		});

		it('weighs reports by their age', () => {
			const clock = new ManualClock();
			const reports = [makeReport(6, 0), makeReport(0, 3000)];
			clock.advance(3000);
			const estimate = makeUtilization(clock, reports).get(reading);
			assert.ok(estimate.utilization < 0.1, `${estimate.utilization}`);
			assert.is(estimate.reportAgeMs, 0);
		});

		it('measures the demand of a rank as its rate times its service time', () => {
			const clock = new ManualClock();
			const utilization = makeUtilization(clock);
			for (let nowMs = 0; nowMs < 10_000; nowMs += 100) {
				clock.advance(100);
				utilization.addRequest(reading, 0, 50);
			}

			const slots = utilization.get(reading).demand.get(0)!;
			assert.ok(Math.abs(slots - 0.5) < 0.05, `${slots}`);
		});
	});

	describe('addRecord', () => {
		const record = {
			service: reading,
			utilization: 0.9,
			demand: new Map([[0, 2]]),
		};

		it("takes a higher estimate of other hosts for this host's own", () => {
			const clock = new ManualClock();
			const utilization = makeUtilization(clock, [makeReport(0)]);
			for (let count = 0; count < 5; count++) {
				utilization.addRecord(record);
			}

			clock.advance(200);
			const estimate = utilization.get(reading);
			assert.ok(estimate.utilization > 0.7, `${estimate.utilization}`);
			assert.is(estimate.sharedAgeMs, 200);
		});

		it("returns to this host's own measurement when gossip is lost", () => {
			const clock = new ManualClock();
			const utilization = makeUtilization(clock);
			utilization.addRecord(record);
			clock.advance(60_000);
			assert.is(utilization.get(reading).demand.get(0), undefined);
		});
	});

	it('agrees on the mean demand of 100 hosts after ten exchanges', () => {
		const clock = new ManualClock();
		const random = makeSeededRandom(2);
		const hosts = Array.from({length: 100}, () => makeUtilization(clock));
		for (let round = 0; round < 10; round++) {
			for (const [index, host] of hosts.entries()) {
				// One host in five gets all requests: 5 slots each, 1 slot per host.
				const requestCount = index % 5 === 0 ? 15 : 0;
				for (let count = 0; count < requestCount; count++) {
					host.addRequest(reading, 0, 500);
				}
			}

			clock.advance(1500);
			for (const host of hosts) {
				const other = hosts[Math.floor(random() * hosts.length)]!;
				const record = host.getRecord(reading);
				host.addRecord(other.getRecord(reading));
				other.addRecord(record);
			}
		}

		const demands = hosts.map((host) => host.get(reading).demand.get(0) ?? 0);
		const mean = demands.reduce((sum, demand) => sum + demand, 0) / 100;
		const near = demands.filter((demand) => demand > 0.4 && demand < 2);
		assert.ok(Math.abs(mean - 1) < 0.25, `${mean}`);
		assert.ok(near.length >= 80, `${near.length}`);
	});
});
