/** The names of all metrics. */

/** Counters: how often something happened since the last flush. */
export const counterNames = [
	'calls.answered',
	'calls.refused',
	'calls.sent_again',
	'bundle.refused',
	'bundle.conflicts',
	'audit.records',
] as const;

/** Gauges: how large something is at the flush. */
export const gaugeNames = [
	'calls.duration_p50_ms',
	'calls.duration_p99_ms',
	'calls.duration_max_ms',
	'bundle.version',
	'host.ready',
	'process.memory_bytes',
	'process.cpu_percent',
	'process.loop_delay_p99_ms',
] as const;

/** One of the counters. */
export type CounterName = (typeof counterNames)[number];

/** One of the gauges. */
export type GaugeName = (typeof gaugeNames)[number];
