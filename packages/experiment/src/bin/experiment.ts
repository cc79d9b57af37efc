/** Compares policies: experiment <scenario> --policies a,b --runs N --seed S. */

import fs from 'node:fs';
import process from 'node:process';
import {selectionPolicyNames} from '@bilberryscale/decisions';
import {getDeploymentOrThrow} from '@bilberryscale/standins';
import {cac} from 'cac';
import {drawReport} from '../report/svg-report.js';
import {compare, runExperiment, type PolicyResult} from '../run/experiment.js';
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
	.option('--policies <names>', `Some of: ${selectionPolicyNames.join(',')}`, {
		default: 'random,two-choices,two-reports,least-cost-3',
	})
	.option('--runs <number>', 'The number of seeds', {default: 5})
	.option('--seed <number>', 'The first seed', {default: 1})
	.option('--entries <number>', 'The number of entry hosts', {default: 8})
	.option('--deployment <name>', 'mongolia or switzerland', {
		default: 'mongolia',
	})
	.option('--results <folder>', 'Where results go', {default: 'results'})
	.action(run);
program.help();
program.parse(process.argv, {run: false});
await program.runMatchedCommand();
process.exit(0);

async function run(name: string, flags: Flags): Promise<void> {
	if (!scenarioNames.includes(name as ScenarioName)) {
		throw new Error(`"${name}" is none of ${scenarioNames.join(', ')}.`);
	}

	const deployment = getDeploymentOrThrow(flags.deployment);
	const summaries = await runExperiment({
		scenario: makeScenario(name as ScenarioName, deployment),
		policies: flags.policies.split(','),
		runs: flags.runs,
		seed: flags.seed,
		entryCount: flags.entries,
		onRun({policy, seed}) {
			process.stderr.write(`${policy} seed ${seed} done\n`);
		},
	});
	const results = compare(summaries);
	const title = `${name} ${flags.deployment} seeds ${flags.seed}-${flags.seed + flags.runs - 1}`;
	fs.mkdirSync(flags.results, {recursive: true});
	const file = `${flags.results}/${title.replaceAll(' ', '-')}`;
	const content = {title, flags, results, summaries};
	fs.writeFileSync(`${file}.json`, JSON.stringify(content, undefined, '\t'));
	fs.writeFileSync(`${file}.svg`, drawReport(title, results, summaries));
	printTable(results);
	const calls = summaries.reduce((sum, run) => sum + run.measuringCalls, 0);
	console.log(`measuring calls to targets: ${calls}`);
}

function printTable(results: readonly PolicyResult[]): void {
	console.log(
		'service | policy | p50 ms | p99 ms (least–most) | p99.9 ms | goodput | imbalance | refused',
	);
	for (const result of results) {
		const {p50Ms, p99Ms, p999Ms, goodput, imbalance, refused} = result;
		const kinds = Object.entries(refused).map((pair) => pair.join(' '));
		console.log(
			[
				result.service,
				result.policy,
				p50Ms.median.toFixed(1),
				`${p99Ms.median.toFixed(0)} (${p99Ms.least.toFixed(0)}–${p99Ms.most.toFixed(0)})`,
				`${p999Ms.median.toFixed(0)} (${p999Ms.least.toFixed(0)}–${p999Ms.most.toFixed(0)})`,
				goodput.median.toFixed(3),
				imbalance.median.toFixed(2),
				kinds.join(', ') || '0',
			].join(' | '),
		);
	}
}
