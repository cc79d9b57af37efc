/** Sums up one run. */

import {
	summarise,
	type CallRecord,
	type RunRecord,
} from '@bilberryscale/standins';
import {getCapacity, warmUpMs, type RunPlan} from './run-once.js';

/** What a run came to for one service. */
export type ServiceResult = {
	readonly service: string;
	readonly offered: number;
	readonly served: number;
	readonly refused: Readonly<Record<string, number>>;
	readonly p50Ms: number;
	readonly p99Ms: number;
	readonly p999Ms: number;
	/** Served calls as a share of what the slots carry in the same time. */
	readonly goodput: number;
	/** The runs of the busiest target divided by the mean. */
	readonly imbalance: number;
};

/** The tail of the calls that were sent within a short time. */
export type TimeBin = {
	readonly service: string;
	/** The start of the bin, from the start of the run, in milliseconds. */
	readonly atMs: number;
	readonly p99Ms: number;
	readonly refused: number;
};

/** What a run came to. */
export type RunSummary = {
	readonly policy: string;
	readonly seed: number;
	readonly services: readonly ServiceResult[];
	readonly timeline: readonly TimeBin[];
	/** The calls that measuring cost all targets together. */
	readonly measuringCalls: number;
};

const binMs = 500;
const classMark = ' of ';

/**
 * Sums up a run.
 *
 * @param plan - What was run.
 * @param records - What the callers saw.
 * @param runs - What the targets logged.
 * @param measuringCalls - The calls to the targets' load endpoints.
 * @returns The summary.
 */
export function summariseRun(
	plan: RunPlan,
	records: readonly CallRecord[],
	runs: readonly RunRecord[],
	measuringCalls: number,
): RunSummary {
	const {policy, seed} = plan;
	return {
		policy,
		seed,
		services: getServiceResults(plan, records, runs),
		timeline: getTimeline(records),
		measuringCalls,
	};
}

function getServiceResults(
	{scenario}: RunPlan,
	records: readonly CallRecord[],
	runs: readonly RunRecord[],
): ServiceResult[] {
	const {deployment, durationMs} = scenario;
	const measuredMs = durationMs - warmUpMs;
	return summarise(labelByClass(leaveOutWarmUp(records))).map((summary) => {
		const {service, served, p50Ms, p99Ms, p999Ms} = summary;
		const deployed = deployment.services.find(
			({name}) => name === service.split(classMark)[0],
		)!;
		const carried = (getCapacity(deployment, deployed) * measuredMs) / 1000;
		const refused = Object.fromEntries(summary.refused);
		const refusedCount = Object.values(refused).reduce((a, b) => a + b, 0);
		return {
			service,
			offered: served + refusedCount,
			served,
			refused,
			p50Ms,
			p99Ms,
			p999Ms,
			goodput: served / carried,
			imbalance: getImbalance(runs, deployed.name, deployed.targets),
		};
	});
}

/** Tells the classes of a service apart, if there are several. */
function labelByClass(records: readonly CallRecord[]): CallRecord[] {
	const classes = new Set(records.map(({callerClass}) => callerClass));
	return records.map((record) => ({
		...record,
		service:
			classes.size > 1
				? `${record.service}${classMark}${record.callerClass}`
				: record.service,
	}));
}

function leaveOutWarmUp(records: readonly CallRecord[]): CallRecord[] {
	const startMs = Math.min(...records.map(({sentAtMs}) => sentAtMs));
	return records.filter(({sentAtMs}) => sentAtMs - startMs >= warmUpMs);
}

function getImbalance(
	runs: readonly RunRecord[],
	service: string,
	targetCount: number,
): number {
	const counts = new Map<string, number>();
	for (const {event, target} of runs) {
		if (event === 'begin' && target.startsWith(`${service}-`)) {
			counts.set(target, (counts.get(target) ?? 0) + 1);
		}
	}

	const values = [...counts.values()];
	const mean = values.reduce((a, b) => a + b, 0) / targetCount;
	return Math.max(...values) / mean;
}

function getTimeline(records: readonly CallRecord[]): TimeBin[] {
	const startMs = Math.min(...records.map(({sentAtMs}) => sentAtMs));
	const bins = new Map<string, CallRecord[]>();
	for (const record of records) {
		const index = Math.floor((record.sentAtMs - startMs) / binMs);
		const key = `${record.service} ${index}`;
		const bin = bins.get(key) ?? [];
		bin.push(record);
		bins.set(key, bin);
	}

	return [...bins.entries()].map(([key, calls]) => {
		const [service, index] = key.split(' ');
		const [summary] = summarise(calls);
		return {
			service: service!,
			atMs: Number(index) * binMs,
			p99Ms: summary!.p99Ms,
			refused: calls.length - summary!.served,
		};
	});
}
