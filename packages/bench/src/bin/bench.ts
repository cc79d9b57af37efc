/** Command that measures the latency that the entry process adds to a call. */

import process from 'node:process';
import {cac} from 'cac';
import {
	measureOverhead,
	type OverheadResult,
} from '../load/measure-overhead.js';
import {BenchEnvironment} from '../processes/bench-environment.js';

type Flags = {
	readonly seed: number;
	readonly rounds: number;
	readonly blockMs: number;
	readonly connections: string | number;
	readonly services: number;
	readonly targets: number;
	readonly rate?: number;
	readonly json?: boolean;
};

const calledServiceTargets = 15;

const program = cac('bench');
program
	.command(
		'',
		'Compare direct calls to a target with calls through the entry process',
	)
	.option('--seed <n>', 'Seed of the intervals between calls', {default: 1})
	.option('--rounds <n>', 'Pairs of direct and entry blocks', {default: 5})
	.option('--block-ms <ms>', 'Length of a block', {default: 2000})
	.option(
		'--connections <list>',
		'Numbers of connections, one measurement each',
		{default: '32'},
	)
	.option('--services <n>', 'Services in the bundle', {default: 4})
	.option('--targets <n>', 'Targets in the bundle', {default: 29})
	.option(
		'--rate <n>',
		'Calls per second; by default half of what one core serves',
	)
	.option('--json', 'Print JSON')
	.action(runCommand);
program.help();
program.parse();

async function runCommand(flags: Flags): Promise<void> {
	const {services, targets} = flags;
	const environment = await BenchEnvironment.start({
		services,
		targets,
		calledServiceTargets,
	});
	try {
		for (const connections of String(flags.connections).split(',')) {
			const result = await measureOverhead(environment, {
				connections: Number(connections),
				seed: flags.seed,
				rounds: flags.rounds,
				blockMs: flags.blockMs,
				callsPerSecond: flags.rate,
			});
			printResult(result, flags.json ?? false);
		}
	} finally {
		await environment.stop();
	}

	process.exit(0);
}

function printResult(result: OverheadResult, isJson: boolean): void {
	if (isJson) {
		console.log(JSON.stringify(result));
		return;
	}

	const {direct, through} = result;
	const format = (value: number) => value.toFixed(3);
	console.log(
		[
			`connections ${result.connections}, ${result.callsPerSecond} calls/s, ${through.calls} calls`,
			`direct  p50 ${format(direct.p50Ms)} p99 ${format(direct.p99Ms)} p99.9 ${format(direct.p999Ms)} ms`,
			`through p50 ${format(through.p50Ms)} p99 ${format(through.p99Ms)} p99.9 ${format(through.p999Ms)} ms`,
			`added   p50 ${format(result.addedP50Ms)} p99 ${format(result.addedP99Ms)} ms, ratio p99 ${format(result.ratioP99)}`,
			`${result.callsPerCore} calls/s per core, core share ${format(result.coreShare)}, ${result.residentMegabytes.toFixed(0)} MB`,
			`loop ${result.loopDelay}`,
		].join('\n'),
	);
}
