/** Runs policies against each other with the same seeds. */

import type {Scenario} from '../scenario/scenario.js';
import {runOnce} from './run-once.js';
import type {RunSummary, ServiceResult} from './run-summary.js';

/** What an experiment is made from. */
export type ExperimentPlan = {
	readonly scenario: Scenario;
	readonly policies: readonly string[];
	readonly runs: number;
	readonly seed: number;
	readonly entryCount: number;
	/** Takes each run as it ends. */
	readonly onRun: (summary: RunSummary) => void;
};

/** A figure over all runs of one policy. */
export type Spread = {
	readonly least: number;
	readonly median: number;
	readonly most: number;
};

/** The figures of one policy on one service. */
export type PolicyResult = {
	readonly policy: string;
	readonly service: string;
	readonly p50Ms: Spread;
	readonly p99Ms: Spread;
	readonly p999Ms: Spread;
	readonly goodput: Spread;
	readonly imbalance: Spread;
	/** Refusals by kind, over all runs. */
	readonly refused: Readonly<Record<string, number>>;
};

/**
 * Runs every policy with every seed; policies take turns within a seed.
 *
 * @param plan - What to run.
 * @returns All runs.
 */
export async function runExperiment(
	plan: ExperimentPlan,
): Promise<RunSummary[]> {
	const {scenario, policies, entryCount} = plan;
	const summaries: RunSummary[] = [];
	for (let run = 0; run < plan.runs; run++) {
		const shift = run % policies.length;
		const turn = [...policies.slice(shift), ...policies.slice(0, shift)];
		for (const policy of turn) {
			const seed = plan.seed + run;
			const summary = await runOnce({scenario, policy, entryCount, seed});
			summaries.push(summary);
			plan.onRun(summary);
		}
	}

	return summaries;
}

/**
 * Compares the policies over all runs.
 *
 * @param summaries - The runs.
 * @returns One result for each service and policy.
 */
export function compare(summaries: readonly RunSummary[]): PolicyResult[] {
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
		p50Ms: getSpread(results.map(({p50Ms}) => p50Ms)),
		p99Ms: getSpread(results.map(({p99Ms}) => p99Ms)),
		p999Ms: getSpread(results.map(({p999Ms}) => p999Ms)),
		goodput: getSpread(results.map(({goodput}) => goodput)),
		imbalance: getSpread(results.map(({imbalance}) => imbalance)),
		refused,
	};
}

function getSpread(values: readonly number[]): Spread {
	const sorted = values.toSorted((a, b) => a - b);
	const middle = Math.floor(sorted.length / 2);
	return {
		least: sorted[0]!,
		median:
			sorted.length % 2 === 1
				? sorted[middle]!
				: (sorted[middle - 1]! + sorted[middle]!) / 2,
		most: sorted.at(-1)!,
	};
}
