/** Preloaded into a process: prints its event-loop delay upon SIGUSR2. */

import {monitorEventLoopDelay} from 'node:perf_hooks';
import process from 'node:process';

const nsPerMs = 1e6;
const delays = monitorEventLoopDelay({resolution: 1});
delays.enable();
process.on('SIGUSR2', () => {
	const p50Ms = delays.percentile(50) / nsPerMs;
	const p99Ms = delays.percentile(99) / nsPerMs;
	process.stdout.write(`${JSON.stringify({loopDelay: {p50Ms, p99Ms}})}\n`);
	delays.reset();
});
