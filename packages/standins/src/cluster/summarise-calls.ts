/** Summarises the attempts of a load by service. */

import {build, type Histogram} from 'hdr-histogram-js';
import type {CallRecord} from '../load/load-plan.js';
import type {RunRecord} from '../target/run-log.js';

/** Outcomes and latency percentiles of the attempts on one service. */
export type ServiceSummary = {
	readonly service: string;
	readonly served: number;
	/** The number of attempts without a complete response of status 200, by error kind. */
	readonly refused: ReadonlyMap<string, number>;
	readonly p50Ms: number;
	readonly p99Ms: number;
	readonly p999Ms: number;
};

const microsecondsPerMs = 1000;

/**
 * Summarises attempts by service. Latencies are those of served attempts.
 *
 * @param records - The records of the attempts.
 * @returns One summary for each service, in the order of first appearance.
 */
export function summariseCalls(
	records: readonly CallRecord[],
): ServiceSummary[] {
	const services = [...new Set(records.map(({service}) => service))];
	return services.map((service) =>
		summariseService(
			service,
			records.filter((record) => record.service === service),
		),
	);
}

/**
 * Counts the runs that repeat an earlier run of the same idempotency key.
 *
 * @param runs - The runs that the targets logged.
 * @returns The number of runs beyond the first one of each key.
 */
export function countRepeatedRuns(runs: readonly RunRecord[]): number {
	const begunRuns = runs.filter(
		({event, key}) => event === 'begin' && key !== undefined,
	);
	const keys = new Set(begunRuns.map(({key}) => key));
	return begunRuns.length - keys.size;
}

function summariseService(
	service: string,
	records: readonly CallRecord[],
): ServiceSummary {
	const histogram = build();
	const refused = new Map<string, number>();
	let served = 0;
	for (const record of records) {
		if (record.status === 200 && record.isWhole) {
			served++;
			histogram.recordValue(Math.round(record.latencyMs * microsecondsPerMs));
		} else {
			const errorKind = record.errorKind ?? 'not-whole';
			refused.set(errorKind, (refused.get(errorKind) ?? 0) + 1);
		}
	}

	return {
		service,
		served,
		refused,
		p50Ms: getPercentileMs(histogram, 50),
		p99Ms: getPercentileMs(histogram, 99),
		p999Ms: getPercentileMs(histogram, 99.9),
	};
}

function getPercentileMs(histogram: Histogram, percentile: number): number {
	return histogram.getValueAtPercentile(percentile) / microsecondsPerMs;
}
