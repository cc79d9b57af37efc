/** Preloaded module that prints and resets the event-loop delay of its process on SIGUSR2. */

import {monitorEventLoopDelay} from 'node:perf_hooks';
import process from 'node:process';

const nsPerMs = 1e6;
const delayHistogram = monitorEventLoopDelay({resolution: 1});
delayHistogram.enable();
process.on('SIGUSR2', () => {
	const p50Ms = delayHistogram.percentile(50) / nsPerMs;
	const p99Ms = delayHistogram.percentile(99) / nsPerMs;
	process.stdout.write(`${JSON.stringify({loopDelay: {p50Ms, p99Ms}})}\n`);
	delayHistogram.reset();
});
