/** Summarises one run. */

import {
	summariseCalls,
	type CallRecord,
	type RunRecord,
} from '@bilberryscale/standins';
import {getCapacityPerSecond, warmUpMs, type RunOptions} from './run-once.js';

/** Results of a run for one service, or for one class of its callers. */
export type ServiceResult = {
	readonly service: string;
	readonly offered: number;
	readonly served: number;
	readonly refused: Readonly<Record<string, number>>;
	readonly p50Ms: number;
	readonly p99Ms: number;
	readonly p999Ms: number;
	/** Served calls as a share of the capacity of all slots in the same time. */
	readonly goodput: number;
	/** Requests that the busiest target ran, divided by the mean of all targets. */
	readonly imbalance: number;
};

/** Tail latency and refusals of the calls that were sent within one time bin. */
export type TimeBin = {
	readonly service: string;
	/** Start of the bin, in milliseconds since the start of the run. */
	readonly atMs: number;
	readonly p99Ms: number;
	readonly refused: number;
};

/** Results of a run. */
export type RunSummary = {
	readonly policy: string;
	readonly seed: number;
	readonly services: readonly ServiceResult[];
	readonly timeline: readonly TimeBin[];
	/** Probes that all targets received together. */
	readonly measuringCalls: number;
};

const binMs = 500;
const classSeparator = ' of ';

/**
 * Summarises a run.
 *
 * @param options - Options of the run.
 * @param callRecords - The callers' records, one per attempt.
 * @param runRecords - The lines of the targets' run logs.
 * @param probeCount - Probes that the targets received.
 * @returns The summary.
 */
export function summariseRun(
	options: RunOptions,
	callRecords: readonly CallRecord[],
	runRecords: readonly RunRecord[],
	probeCount: number,
): RunSummary {
	const {policy, seed} = options;
	return {
		policy,
		seed,
		services: getServiceResults(options, callRecords, runRecords),
		timeline: getTimeline(callRecords),
		measuringCalls: probeCount,
	};
}

function getServiceResults(
	{scenario}: RunOptions,
	callRecords: readonly CallRecord[],
	runRecords: readonly RunRecord[],
): ServiceResult[] {
	const {deployment, durationMs} = scenario;
	const measuredMs = durationMs - warmUpMs;
	return summariseCalls(separateClasses(excludeWarmUp(callRecords))).map(
		(summary) => {
			const {service, served, p50Ms, p99Ms, p999Ms} = summary;
			const deployed = deployment.services.find(
				({name}) => name === service.split(classSeparator)[0],
			)!;
			const capacity =
				(getCapacityPerSecond(deployment, deployed) * measuredMs) / 1000;
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
				goodput: served / capacity,
				imbalance: getImbalance(runRecords, deployed.name, deployed.targets),
			};
		},
	);
}

/** Treats each class of callers as a service of its own if there are several classes. */
function separateClasses(callRecords: readonly CallRecord[]): CallRecord[] {
	const classes = new Set(callRecords.map(({callerClass}) => callerClass));
	return callRecords.map((record) => ({
		...record,
		service:
			classes.size > 1
				? `${record.service}${classSeparator}${record.callerClass}`
				: record.service,
	}));
}

function excludeWarmUp(callRecords: readonly CallRecord[]): CallRecord[] {
	const startMs = Math.min(...callRecords.map(({sentAtMs}) => sentAtMs));
	return callRecords.filter(({sentAtMs}) => sentAtMs - startMs >= warmUpMs);
}

function getImbalance(
	runRecords: readonly RunRecord[],
	service: string,
	targetCount: number,
): number {
	const counts = new Map<string, number>();
	for (const {event, target} of runRecords) {
		if (event === 'begin' && target.startsWith(`${service}-`)) {
			counts.set(target, (counts.get(target) ?? 0) + 1);
		}
	}

	const values = [...counts.values()];
	const mean = values.reduce((a, b) => a + b, 0) / targetCount;
	return Math.max(...values) / mean;
}

function getTimeline(callRecords: readonly CallRecord[]): TimeBin[] {
	const startMs = Math.min(...callRecords.map(({sentAtMs}) => sentAtMs));
	const bins = new Map<string, CallRecord[]>();
	for (const record of callRecords) {
		const index = Math.floor((record.sentAtMs - startMs) / binMs);
		const key = `${record.service} ${index}`;
		const bin = bins.get(key) ?? [];
		bin.push(record);
		bins.set(key, bin);
	}

	return [...bins.entries()].map(([key, binRecords]) => {
		const [service, index] = key.split(' ');
		const [summary] = summariseCalls(binRecords);
		return {
			service: service!,
			atMs: Number(index) * binMs,
			p99Ms: summary!.p99Ms,
			refused: binRecords.length - summary!.served,
		};
	});
}
