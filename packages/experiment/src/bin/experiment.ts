/** Command that compares policies: experiment <scenario> --policies a,b --runs N --seed S. */

import fs from 'node:fs';
import process from 'node:process';
import {selectionPolicyNames} from '@bilberryscale/decisions';
import {getDeploymentOrThrow} from '@bilberryscale/standins';
import {cac} from 'cac';
import {renderSvgReport} from '../report/svg-report.js';
import {
	comparePolicies,
	runExperiment,
	type PolicyResult,
} from '../run/run-experiment.js';
import {
	makeScenario,
	scenarioNames,
	type ScenarioName,
} from '../scenario/scenarios.js';

type Flags = {
	readonly policies: string;
	readonly runs: number;
	readonly seed: number;
	readonly entries: number;
	readonly deployment: string;
	readonly results: string;
};

const program = cac('experiment');
program
	.command('<scenario>', `Run one of: ${scenarioNames.join(', ')}`)
	.option(
		'--policies <names>',
		`Policies to compare, out of: ${selectionPolicyNames.join(',')}`,
		{
			default: 'random,two-choices,two-reports,least-cost-3',
		},
	)
	.option(
		'--runs <number>',
		'Number of runs per policy, each with its own seed',
		{default: 5},
	)
	.option('--seed <number>', 'Seed of the first run', {default: 1})
	.option('--entries <number>', 'Number of entry hosts', {default: 8})
	.option('--deployment <name>', 'mongolia or switzerland', {
		default: 'mongolia',
	})
	.option('--results <folder>', 'Folder for the results', {default: 'results'})
	.action(runCommand);
program.help();
program.parse(process.argv, {run: false});
await program.runMatchedCommand();
process.exit(0);

async function runCommand(scenarioName: string, flags: Flags): Promise<void> {
	if (!scenarioNames.includes(scenarioName as ScenarioName)) {
		throw new Error(
			`Unknown scenario "${scenarioName}"; expected one of: ${scenarioNames.join(', ')}.`,
		);
	}

	const deployment = getDeploymentOrThrow(flags.deployment);
	const summaries = await runExperiment({
		scenario: makeScenario(scenarioName as ScenarioName, deployment),
		policies: flags.policies.split(','),
		runCount: flags.runs,
		seed: flags.seed,
		entryCount: flags.entries,
		onRunCompleted({policy, seed}) {
			process.stderr.write(`${policy} seed ${seed} done\n`);
		},
	});
	const results = comparePolicies(summaries);
	const title = `${scenarioName} ${flags.deployment} seeds ${flags.seed}-${flags.seed + flags.runs - 1}`;
	fs.mkdirSync(flags.results, {recursive: true});
	const file = `${flags.results}/${title.replaceAll(' ', '-')}`;
	const content = {title, flags, results, summaries};
	fs.writeFileSync(`${file}.json`, JSON.stringify(content, undefined, '\t'));
	fs.writeFileSync(`${file}.svg`, renderSvgReport(title, results, summaries));
	printTable(results);
	const probeCount = summaries.reduce(
		(sum, run) => sum + run.measuringCalls,
		0,
	);
	console.log(`probes received by targets: ${probeCount}`);
}

function printTable(results: readonly PolicyResult[]): void {
	console.log(
		'service | policy | p50 ms | p99 ms (min–max) | p99.9 ms | goodput | imbalance | refused',
	);
	for (const result of results) {
		const {p50Ms, p99Ms, p999Ms, goodput, imbalance, refused} = result;
		const refusals = Object.entries(refused).map((pair) => pair.join(' '));
		console.log(
			[
				result.service,
				result.policy,
				p50Ms.median.toFixed(1),
				`${p99Ms.median.toFixed(0)} (${p99Ms.least.toFixed(0)}–${p99Ms.most.toFixed(0)})`,
				`${p999Ms.median.toFixed(0)} (${p999Ms.least.toFixed(0)}–${p999Ms.most.toFixed(0)})`,
				goodput.median.toFixed(3),
				imbalance.median.toFixed(2),
				refusals.join(', ') || '0',
			].join(' | '),
		);
	}
}
