/**
 * Load patterns in which the near side has too few free slots: demand that swings
 * with a period of 13 s at opposite phases in three data centres, a drained data
 * centre and a lost one. Guards against far probes for each request, against
 * waits for a near side that cannot take the request, and against requests that
 * stay away from a near side that has recovered.
 *
 * Each case names the figures of the policy before spillover (8 far probes as soon
 * as no near target is acceptable, 3 of any data centre at each recheck) in the
 * same model.
 */

import {describe, it} from '@bilberryscale/testing';
import * as assert from 'uvu/assert';
import {
	DataCentreModel,
	emptyCounts,
	type Counts,
} from './data-centre-model.js';

type Figures = {
	readonly onTimeShare: number;
	readonly latencyMs: number;
	readonly probes: number;
	readonly farProbes: number;
	readonly connections: number;
	readonly farSends: number;
	readonly farBytes: number;
};

/** Sizes in bytes, estimated from the messages: a probe with its response, a connection, a request with its response. */
const sizes = {probe: 450, connection: 400, send: 1200};

/** Gets figures per request. */
function getFigures(counts: readonly Counts[]): Figures {
	const total = {...emptyCounts};
	for (const key of Object.keys(total) as Array<keyof Counts>) {
		total[key] = counts.reduce((sum, count) => sum + count[key], 0);
	}

	const farBytes =
		total.farProbes * sizes.probe +
		total.farConnections * sizes.connection +
		total.farSends * sizes.send;
	return {
		onTimeShare: total.onTime / total.ended,
		latencyMs: total.latencyMs / total.ended,
		probes: total.probes / total.sent,
		farProbes: total.farProbes / total.sent,
		connections: total.connections / total.sent,
		farSends: total.farSends / total.sent,
		farBytes: farBytes / total.sent,
	};
}

/** Checks that figures are within bounds; the share of requests on time has a lower bound. */
function assertWithin(figures: Figures, bounds: Partial<Figures>): void {
	for (const [key, bound] of Object.entries(bounds)) {
		const value = figures[key as keyof Figures];
		const isWithin = key === 'onTimeShare' ? value >= bound : value <= bound;
		assert.ok(isWithin, `${key} ${value}, bound ${bound}`);
	}
}

const firstDataCentre = 0;
const faultEndsAtMs = 10_000;
const faultStartsAtMs = 2000;
const isFaulty = (dataCentre: number, nowMs: number) =>
	dataCentre === firstDataCentre &&
	nowMs >= faultStartsAtMs &&
	nowMs < faultEndsAtMs;

describe('requests of three data centres', () => {
	it('ask 4 near targets and no far one while the near side is healthy; before: the same', async () => {
		const model = new DataCentreModel({getRate: () => 80});
		const figures = getFigures(await model.run(4000));
		assertWithin(figures, {
			farProbes: 0,
			farSends: 0,
			probes: 4,
			onTimeShare: 0.96,
		});
	});

	it('save far probes while demand swings at opposite phases; before: 1.91 far probes, 0.64 connections, 1273 B, 0.968 on time', async () => {
		const model = new DataCentreModel({
			getRate: (dataCentre, nowMs) =>
				130 *
				(1 + 0.55 * Math.sin(2 * Math.PI * (nowMs / 13_000 + dataCentre / 3))),
		});
		const figures = getFigures(await model.run(13_000));
		assertWithin(figures, {
			farProbes: 1.1,
			connections: 0.5,
			farBytes: 800,
			onTimeShare: 0.955,
		});
	});

	it('save far probes while their data centre is drained and return at once; before: 7.85 far probes, 1.01 connections, 5134 B, 0.976 on time', async () => {
		const model = new DataCentreModel({getRate: () => 80, isDrained: isFaulty});
		await model.run(faultStartsAtMs);
		const drained = await model.run(faultEndsAtMs - faultStartsAtMs);
		assertWithin(getFigures([drained[firstDataCentre]!]), {
			farProbes: 4.5,
			connections: 0.65,
			farBytes: 3500,
			onTimeShare: 0.96,
		});
		assertWithin(getFigures(await model.run(1000)), {farSends: 0.03});
	});

	it('do not wait for a lost data centre and return within 2 s; before: 406 ms, 6.74 far probes, 7.88 connections, 4646 B, 0.956 on time', async () => {
		const model = new DataCentreModel({getRate: () => 70, isLost: isFaulty});
		await model.run(faultStartsAtMs);
		const lost = await model.run(faultEndsAtMs - faultStartsAtMs);
		assertWithin(getFigures([lost[firstDataCentre]!]), {
			latencyMs: 300,
			farProbes: 3.5,
			connections: 3.5,
			farBytes: 3100,
			onTimeShare: 0.95,
		});
		await model.run(2000);
		assertWithin(getFigures(await model.run(1000)), {
			farProbes: 0.1,
			farSends: 0.02,
		});
	});
});
