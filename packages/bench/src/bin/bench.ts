/** Measures what the entry process adds to a call. */

import process from 'node:process';
import {cac} from 'cac';
import {compare, type Comparison} from '../load/compare.js';
import {BenchHost} from '../processes/bench-host.js';

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

const servedTargets = 15;

const program = cac('bench');
program
	.command('', 'Compare calls straight to a target with calls through')
	.option('--seed <n>', 'Draws the times of the calls', {default: 1})
	.option('--rounds <n>', 'Pairs of blocks', {default: 5})
	.option('--block-ms <ms>', 'The length of a block', {default: 2000})
	.option('--connections <list>', 'Callers’ connections', {default: '32'})
	.option('--services <n>', 'Services in the bundle', {default: 4})
	.option('--targets <n>', 'Targets in the bundle', {default: 29})
	.option('--rate <n>', 'Calls a second; half of a core’s if absent')
	.option('--json', 'Print JSON')
	.action(run);
program.help();
program.parse();

async function run(flags: Flags): Promise<void> {
	const {services, targets} = flags;
	const host = await BenchHost.start({services, targets, servedTargets});
	try {
		for (const connections of String(flags.connections).split(',')) {
			const comparison = await compare(host, {
				connections: Number(connections),
				seed: flags.seed,
				rounds: flags.rounds,
				blockMs: flags.blockMs,
				callsPerSecond: flags.rate,
			});
			print(comparison, flags.json ?? false);
		}
	} finally {
		await host.stop();
	}

	process.exit(0);
}

function print(comparison: Comparison, isJson: boolean): void {
	if (isJson) {
		console.log(JSON.stringify(comparison));
		return;
	}

	const {direct, through} = comparison;
	const format = (value: number) => value.toFixed(3);
	console.log(
		[
			`connections ${comparison.connections}, ${comparison.callsPerSecond} calls/s, ${through.calls} calls`,
			`direct  p50 ${format(direct.p50Ms)} p99 ${format(direct.p99Ms)} p99.9 ${format(direct.p999Ms)} ms`,
			`through p50 ${format(through.p50Ms)} p99 ${format(through.p99Ms)} p99.9 ${format(through.p999Ms)} ms`,
			`added   p50 ${format(comparison.addedP50Ms)} p99 ${format(comparison.addedP99Ms)} ms, ratio p99 ${format(comparison.ratioP99)}`,
			`${comparison.callsPerCore} calls/s per core, core share ${format(comparison.coreShare)}, ${comparison.residentMegabytes.toFixed(0)} MB`,
			`loop ${comparison.loopDelay}`,
		].join('\n'),
	);
}
