/** Runs a scenario with several policies on the same seeds and compares them. */

import type {Scenario} from '../scenario/scenario.js';
import {runOnce} from './run-once.js';
import type {RunSummary, ServiceResult} from './run-summary.js';

/** Options of an experiment. */
export type ExperimentOptions = {
	readonly scenario: Scenario;
	readonly policies: readonly string[];
	/** Runs per policy; each uses the next seed. */
	readonly runCount: number;
	/** Seed of the first run. */
	readonly seed: number;
	readonly entryCount: number;
	/** Called after each run. */
	readonly onRunCompleted: (summary: RunSummary) => void;
};

/** Range and median of a metric over all runs of one policy. */
export type Spread = {
	readonly least: number;
	readonly median: number;
	readonly most: number;
};

/** Metrics of one policy on one service. */
export type PolicyResult = {
	readonly policy: string;
	readonly service: string;
	readonly p50Ms: Spread;
	readonly p99Ms: Spread;
	readonly p999Ms: Spread;
	readonly goodput: Spread;
	readonly imbalance: Spread;
	/** Total refused calls of all runs, by kind. */
	readonly refused: Readonly<Record<string, number>>;
};

/**
 * Runs every policy with every seed. The order of the policies rotates from seed to seed.
 *
 * @param options - Scenario, policies and seeds.
 * @returns Summaries of all runs.
 */
export async function runExperiment(
	options: ExperimentOptions,
): Promise<RunSummary[]> {
	const {scenario, policies, entryCount} = options;
	const summaries: RunSummary[] = [];
	for (let runIndex = 0; runIndex < options.runCount; runIndex++) {
		const offset = runIndex % policies.length;
		const policyOrder = [
			...policies.slice(offset),
			...policies.slice(0, offset),
		];
		for (const policy of policyOrder) {
			const seed = options.seed + runIndex;
			const summary = await runOnce({scenario, policy, entryCount, seed});
			summaries.push(summary);
			options.onRunCompleted(summary);
		}
	}

	return summaries;
}

/**
 * Aggregates the runs of each policy.
 *
 * @param summaries - Summaries of all runs.
 * @returns One result per service and policy.
 */
export function comparePolicies(
	summaries: readonly RunSummary[],
): PolicyResult[] {
	const policies = [...new Set(summaries.map(({policy}) => policy))];
	const services = [
		...new Set(
			summaries.flatMap((run) => run.services.map(({service}) => service)),
		),
	].toSorted();
	return services.flatMap((service) =>
		policies.map((policy) =>
			summarisePolicy(
				policy,
				service,
				summaries
					.filter((run) => run.policy === policy)
					.flatMap((run) => run.services)
					.filter((result) => result.service === service),
			),
		),
	);
}

function summarisePolicy(
	policy: string,
	service: string,
	results: readonly ServiceResult[],
): PolicyResult {
	const refused: Record<string, number> = {};
	for (const result of results) {
		for (const [kind, count] of Object.entries(result.refused)) {
			refused[kind] = (refused[kind] ?? 0) + count;
		}
	}

	return {
		policy,
		service,
		p50Ms: computeSpread(results.map(({p50Ms}) => p50Ms)),
		p99Ms: computeSpread(results.map(({p99Ms}) => p99Ms)),
		p999Ms: computeSpread(results.map(({p999Ms}) => p999Ms)),
		goodput: computeSpread(results.map(({goodput}) => goodput)),
		imbalance: computeSpread(results.map(({imbalance}) => imbalance)),
		refused,
	};
}

function computeSpread(values: readonly number[]): Spread {
	const sorted = values.toSorted((a, b) => a - b);
	const middleIndex = Math.floor(sorted.length / 2);
	return {
		least: sorted[0]!,
		median:
			sorted.length % 2 === 1
				? sorted[middleIndex]!
				: (sorted[middleIndex - 1]! + sorted[middleIndex]!) / 2,
		most: sorted.at(-1)!,
	};
}
