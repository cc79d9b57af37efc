import {makeSeededRandom} from '@bilberryscale/core';
import {describe, it} from '@bilberryscale/testing';
import * as assert from 'uvu/assert';
import {HedgeBudget} from '../../src/hedging/hedge-budget.js';

const windowMs = 10_000;
const runMs = 200_000;

type Fleet = {
	readonly hosts: number;
	readonly limit: number;
	/** The share of requests for which a hedge is due, at each moment. */
	readonly getSlowShare: (nowMs: number) => number;
	/** When all hosts restart; undefined for never. */
	readonly restartMs?: number;
};

type FleetRun = {
	/** When requests arrived and hedges were sent, in milliseconds. */
	readonly requests: readonly number[];
	readonly hedges: readonly number[];
};

const requestsPerSecond = 200;

/** Runs a fleet in which some hosts get far more requests than others. */
function runFleet({hosts, limit, getSlowShare, restartMs}: Fleet): FleetRun {
	const random = makeSeededRandom(hosts);
	const start = () =>
		Array.from({length: hosts}, () => new HedgeBudget({limit, random}));
	let budgets = start();
	const requests: number[] = [];
	const hedges: number[] = [];
	for (let nowMs = 0; nowMs < runMs; nowMs += 1000 / requestsPerSecond) {
		if (nowMs === restartMs) {
			budgets = start();
		}

		const budget = budgets[Math.floor(random() ** 2 * hosts)]!;
		budget.addRequest(nowMs);
		requests.push(nowMs);
		if (random() < getSlowShare(nowMs) && budget.take(nowMs)) {
			hedges.push(nowMs);
		}
	}

	return {requests, hedges};
}

/** Gets the highest ratio of hedges to requests in any window. */
function getPeakShare({requests, hedges}: FleetRun): number {
	let peak = 0;
	for (let endMs = windowMs; endMs <= runMs; endMs += 250) {
		const count = (times: readonly number[]) =>
			times.filter((atMs) => atMs > endMs - windowMs && atMs <= endMs).length;
		peak = Math.max(peak, count(hedges) / count(requests));
	}

	return peak;
}

describe('HedgeBudget', () => {
	for (const hosts of [16, 100, 312]) {
		describe(`over ${hosts} hosts, in any 10 s`, () => {
			for (const limit of [0.02, 0.05, 0.2]) {
				it(`stays within ${limit} while a hedge is due for each request`, () => {
					const peak = getPeakShare(
						runFleet({hosts, limit, getSlowShare: () => 1}),
					);
					assert.ok(peak <= limit, String(peak));
				});

				it(`stays within ${limit} if all hosts find requests slow at once`, () => {
					const run = runFleet({
						hosts,
						limit,
						getSlowShare: (nowMs) => (nowMs % 30_000 < 8000 ? 1 : 0),
					});
					assert.ok(getPeakShare(run) <= limit, String(getPeakShare(run)));
					assert.ok(run.hedges.length > 0);
				});
			}

			it('stays within the limit if all hosts restart', () => {
				const peak = getPeakShare(
					runFleet({
						hosts,
						limit: 0.05,
						getSlowShare: () => 1,
						restartMs: 100_000,
					}),
				);
				assert.ok(peak <= 0.05, String(peak));
			});

			it('lets hosts hedge that get less than one permit in a window', () => {
				const {requests, hedges} = runFleet({
					hosts,
					limit: 0.05,
					getSlowShare: () => 0.05,
				});
				assert.ok(hedges.length / requests.length > 0.004);
			});
		});
	}

	describe('take', () => {
		function makeBudget(): HedgeBudget {
			return new HedgeBudget({limit: 0.2, random: () => 0});
		}

		function addRequests(
			budget: HedgeBudget,
			count: number,
			nowMs: number,
		): void {
			for (let index = 0; index < count; index++) {
				budget.addRequest(nowMs);
			}
		}

		it('allows no hedge without requests', () => {
			assert.not(makeBudget().take(0));
		});

		it('allows a hedge for so many requests', () => {
			const budget = makeBudget();
			addRequests(budget, 14, 0);
			assert.not(budget.take(0));
			addRequests(budget, 1, 0);
			assert.ok(budget.canTake(0));
			assert.ok(budget.take(0));
			assert.not(budget.take(0));
		});

		it('lets permits expire, so that hosts do not save them up', () => {
			const budget = makeBudget();
			addRequests(budget, 300, 0);
			assert.ok(budget.take(9999));
			assert.not(budget.take(10_000));
		});
	});
});
